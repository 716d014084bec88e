#include "StandInTarget.h"
#include <csignal>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <sstream>

using namespace Sassafrasshift;

static constexpr const char* helpText = R"(Usage: stand-in-target --identity PREFIX --pool POOL --failure-domain DOMAIN --address ADDRESS --port PORT --entries A:P,...

Simulates one or more executors or workers in one process. For tests only.

  --count N            number of targets; they use consecutive ports      (1)
  --worker             simulate workers, which run tasks, not executors
  --capacity N         slots of each executor or cores of each worker     (8)
  --slowness LIST      run time factors, assigned to targets in rotation  (1)
  --failure-share LIST fractions of work that fail, assigned in rotation  (0)
  --time-line FILE     file to which the time line is appended
)";

static volatile std::sig_atomic_t pendingSignals = 0;

static void onSignal(int)
{
    pendingSignals = pendingSignals + 1;
}

static std::vector<std::string> splitCommaList(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
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
    for (int optionCode = 0; (optionCode = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        std::string value = optarg ? optarg : "";
        switch (optionCode) {
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
            for (const auto& entry : splitCommaList(value)) {
                auto endpoint = Transport::Endpoint::parse(entry);
                if (!endpoint)
                    return false;
                arguments.target.entryHosts.push_back(*endpoint);
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
            arguments.slowness = splitCommaList(value);
            break;
        case 'f':
            arguments.failureShare = splitCommaList(value);
            break;
        case 't':
            arguments.timeLine = value;
            break;
        default:
            return false;
        }
    }
    return !arguments.target.entryHosts.empty() && arguments.port > 0 && !arguments.target.identity.empty();
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
    auto random = makeEntropySeededRandom();
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
    std::unique_ptr<Transport::Timer> signalTimer;
    // The first signal makes the targets leave, and the process exits once they are idle. A second signal stops it immediately.
    std::function<void()> pollSignals = [&] {
        if (pendingSignals > 0) {
            bool allIdle = true;
            for (auto& target : targets) {
                target->leave();
                allIdle = allIdle && target->isIdle();
            }
            if (allIdle || pendingSignals > 1) {
                loop->stop();
                return;
            }
        }
        signalTimer = loop->after(Milliseconds(20), pollSignals);
    };
    signalTimer = loop->after(Milliseconds(20), pollSignals);
    loop->run();
    (*timeLine)->flush();
    std::_Exit(0);
}
