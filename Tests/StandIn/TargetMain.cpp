#include "StandInTarget.h"
#include <csignal>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <sstream>

using namespace Sassafrasshift;

static constexpr const char* helpText = R"(Usage: stand-in-target --identity PREFIX --pool POOL --failure-domain DOMAIN --address ADDRESS --port PORT --entries A:P,...

Stands in for a number of executors or workers in one process. Test use only.

  --count N            how many targets; each has the next port           (1)
  --worker             workers with tasks instead of executors
  --capacity N         slots or cores of each                             (8)
  --slowness LIST      factors on the run time, used in turn              (1)
  --failure-share LIST shares of the work that fail, used in turn         (0)
  --time-line FILE     where to record what is started
)";

static volatile std::sig_atomic_t pendingSignals = 0;

static void onSignal(int)
{
    pendingSignals = pendingSignals + 1;
}

static std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

struct Arguments {
    StandIn::TargetOptions target;
    std::string address { "127.0.0.1" };
    int port { 0 };
    int count { 1 };
    std::vector<std::string> slowness { "1" };
    std::vector<std::string> failureShare { "0" };
    std::string timeLine;
};

static bool parseArguments(int argc, char** argv, Arguments& arguments)
{
    static const option options[] {
        { "identity", required_argument, nullptr, 'i' }, { "pool", required_argument, nullptr, 'p' }, { "failure-domain", required_argument, nullptr, 'd' },
        { "address", required_argument, nullptr, 'a' }, { "port", required_argument, nullptr, 'o' }, { "entries", required_argument, nullptr, 'e' },
        { "count", required_argument, nullptr, 'n' }, { "worker", no_argument, nullptr, 'w' }, { "capacity", required_argument, nullptr, 'c' },
        { "slowness", required_argument, nullptr, 's' }, { "failure-share", required_argument, nullptr, 'f' }, { "time-line", required_argument, nullptr, 't' },
        { nullptr, 0, nullptr, 0 }
    };
    for (int choice = 0; (choice = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        std::string value = optarg ? optarg : "";
        switch (choice) {
        case 'i':
            arguments.target.identity = value;
            break;
        case 'p':
            arguments.target.pool = value;
            break;
        case 'd':
            arguments.target.failureDomain = value;
            break;
        case 'a':
            arguments.address = value;
            break;
        case 'o':
            arguments.port = std::atoi(value.c_str());
            break;
        case 'e':
            for (const auto& entry : splitList(value)) {
                auto endpoint = Transport::Endpoint::parse(entry);
                if (!endpoint)
                    return false;
                arguments.target.entries.push_back(*endpoint);
            }
            break;
        case 'n':
            arguments.count = std::atoi(value.c_str());
            break;
        case 'w':
            arguments.target.isWorker = true;
            break;
        case 'c':
            arguments.target.capacity = std::atoi(value.c_str());
            break;
        case 's':
            arguments.slowness = splitList(value);
            break;
        case 'f':
            arguments.failureShare = splitList(value);
            break;
        case 't':
            arguments.timeLine = value;
            break;
        default:
            return false;
        }
    }
    return !arguments.target.entries.empty() && arguments.port > 0 && !arguments.target.identity.empty();
}

int main(int argc, char** argv)
{
    Arguments arguments;
    if (!parseArguments(argc, argv, arguments)) {
        std::cerr << helpText;
        return 2;
    }
    auto loop = Transport::EventLoop::create();
    auto client = Transport::HttpClient::create(*loop, {});
    auto random = makeSeededRandom();
    auto timeLine = Telemetry::TimeLine::create(*loop, arguments.target.identity, arguments.timeLine);
    if (!timeLine) {
        std::cerr << timeLine.error().detail << "\n";
        return 4;
    }
    std::vector<std::unique_ptr<StandIn::StandInTarget>> targets;
    for (int i = 0; i < arguments.count; ++i) {
        auto options = arguments.target;
        options.identity += "-" + std::to_string(i);
        options.rack = "rack-" + std::to_string(i / 6);
        options.endpoint = { arguments.address, static_cast<uint16_t>(arguments.port + i) };
        options.memoryBytes = static_cast<int64_t>(options.capacity) * 4 * 1024 * 1024 * 1024;
        options.slowness = std::strtod(arguments.slowness[static_cast<size_t>(i) % arguments.slowness.size()].c_str(), nullptr);
        options.failureShare = std::strtod(arguments.failureShare[static_cast<size_t>(i) % arguments.failureShare.size()].c_str(), nullptr);
        auto target = StandIn::StandInTarget::create(*loop, *client, **timeLine, random, options);
        if (!target) {
            std::cerr << target.error().detail << "\n";
            return 4;
        }
        targets.push_back(std::move(target).value());
    }
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::unique_ptr<Transport::Timer> timer;
    std::function<void()> watch = [&] {
        if (pendingSignals > 0) {
            bool idle = true;
            for (auto& target : targets) {
                target->leave();
                idle = idle && target->isIdle();
            }
            if (idle || pendingSignals > 1) {
                loop->stop();
                return;
            }
        }
        timer = loop->after(Milliseconds(20), watch);
    };
    timer = loop->after(Milliseconds(20), watch);
    loop->run();
    (*timeLine)->flush();
    std::_Exit(0);
}
