#include "Cluster/ClusterDaemon.h"
#include "Daemon.h"
#include <LibLedger/FileOperations.h>
#include <LibTelemetry/Log.h>
#include <array>
#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <iostream>

using namespace Sassafrasshift;

enum ExitCode {
    ExitSuccess = 0,
    ExitUsage = 2,
    ExitSettings = 3,
    ExitStart = 4,
};

static constexpr const char* helpText = R"(Usage: sassafrasshiftd --settings FILE
       sassafrasshiftd --cluster FILE
       sassafrasshiftd --check FILE

Runs one entry host of the dispatcher, or one member of a cluster whose members discover each other.

  -s, --settings FILE  run with the settings in FILE
  -C, --cluster FILE   run as a member of a cluster, with the settings in FILE
  -c, --check FILE     check FILE for use with --settings, print all faults, and exit
  -h, --help           print this text
  -V, --version        print the version

Example:
  sassafrasshiftd --settings /etc/sassafrasshift/sassafrasshiftd.yaml

SIGTERM and SIGINT let the work in progress finish first. With --settings, a second signal stops the process immediately. With
--cluster, SIGHUP reloads the seeds from FILE.

Exit codes: 0 success, 2 invalid arguments, 3 faults in the settings, 4 an address, the time-line file or the data folder
cannot be used, 74 a storage operation in the data folder failed at run time.
)";

// Few operations are safe in a signal handler, so it only increments this counter, which the daemon polls on each tick.
static volatile std::sig_atomic_t shutdownSignalCount = 0;

static void onShutdownSignal(int)
{
    shutdownSignalCount = shutdownSignalCount + 1;
}

static tl::expected<Settings::DaemonSettings, Settings::Diagnostics> loadSettings(const std::string& path)
{
    auto text = Ledger::readFile(path);
    if (!text)
        return tl::unexpected(Settings::Diagnostics { Settings::Diagnostic { path, 1, 1, "the file cannot be read" } });
    return Settings::DaemonSettings::parse(*text, path);
}

static Telemetry::LogLevel parseLogLevel(const std::string& name)
{
    if (name == "debug")
        return Telemetry::LogLevel::Debug;
    if (name == "warning")
        return Telemetry::LogLevel::Warning;
    if (name == "error")
        return Telemetry::LogLevel::Error;
    return Telemetry::LogLevel::Information;
}

// Counts the SIGHUP signals, each of which asks the cluster daemon to reload its settings file.
static volatile std::sig_atomic_t reloadSignalCount = 0;

static void onReloadSignal(int)
{
    reloadSignalCount = reloadSignalCount + 1;
}

static int runClusterMember(const std::string& path)
{
    auto text = Ledger::readFile(path);
    if (!text) {
        std::cerr << "sassafrasshiftd: " << path << " cannot be read\n";
        return ExitSettings;
    }
    auto settings = Settings::ClusterSettings::parse(*text, path);
    if (!settings) {
        std::cerr << Settings::toText(settings.error());
        return ExitSettings;
    }
    Telemetry::startLog(settings->host, parseLogLevel(settings->logLevel), Telemetry::LogDestination::StandardOutput);
    std::signal(SIGTERM, onShutdownSignal);
    std::signal(SIGINT, onShutdownSignal);
    std::signal(SIGHUP, onReloadSignal);
    auto daemon = Daemon::ClusterDaemon::create(*settings, path);
    if (!daemon) {
        std::cerr << "sassafrasshiftd: " << daemon.error().detail << "\n";
        return ExitStart;
    }
    (*daemon)->setSignalPoll([stops = 0, reloads = 0]() mutable {
        Daemon::ClusterDaemon::Signals signals { stops < shutdownSignalCount, reloads < reloadSignalCount };
        stops = shutdownSignalCount;
        reloads = reloadSignalCount;
        return signals;
    });
    (*daemon)->run();
    Telemetry::stopLog();
    std::cout.flush();
    std::_Exit(ExitSuccess);
}

static int runDaemon(const Settings::DaemonSettings& settings)
{
    Telemetry::startLog(settings.host, parseLogLevel(settings.logLevel));
    auto daemon = Daemon::Daemon::create(settings);
    if (!daemon) {
        std::cerr << "sassafrasshiftd: " << daemon.error().detail << "\n";
        return ExitStart;
    }
    std::signal(SIGTERM, onShutdownSignal);
    std::signal(SIGINT, onShutdownSignal);
    (*daemon)->setSignalPoll([handled = 0]() mutable {
        bool pending = handled < shutdownSignalCount;
        handled = shutdownSignalCount;
        return pending;
    });
    (*daemon)->run();
    // The components of the daemon refer to each other, so the process exits without destroying them.
    Telemetry::stopLog();
    std::cout.flush();
    std::_Exit(ExitSuccess);
}

int main(int argc, char** argv)
{
    static const std::array<option, 6> options { {
        { "settings", required_argument, nullptr, 's' },
        { "cluster", required_argument, nullptr, 'C' },
        { "check", required_argument, nullptr, 'c' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' },
        { nullptr, 0, nullptr, 0 },
    } };
    std::string path;
    bool checkOnly = false;
    for (int choice = 0; (choice = getopt_long(argc, argv, "s:C:c:hV", options.data(), nullptr)) != -1;) {
        switch (choice) {
        case 's':
            path = optarg;
            break;
        case 'C':
            return runClusterMember(optarg);
        case 'c':
            path = optarg;
            checkOnly = true;
            break;
        case 'h':
            std::cout << helpText;
            return ExitSuccess;
        case 'V':
            std::cout << "sassafrasshiftd " << SASSAFRASSHIFT_VERSION << "\n";
            return ExitSuccess;
        default:
            std::cerr << "Try 'sassafrasshiftd --help'.\n";
            return ExitUsage;
        }
    }
    if (path.empty() || optind != argc) {
        std::cerr << "sassafrasshiftd: --settings, --cluster or --check FILE is required, without further arguments\nTry 'sassafrasshiftd --help'.\n";
        return ExitUsage;
    }
    auto settings = loadSettings(path);
    if (!settings) {
        std::cerr << Settings::toText(settings.error());
        return ExitSettings;
    }
    if (checkOnly) {
        std::cout << path << ": no faults\n";
        return ExitSuccess;
    }
    return runDaemon(*settings);
}
