#include "ConfigurationStore.h"
#include <LibBase/Try.h>
#include <LibLedger/FileOperations.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

ConfigurationStore::ConfigurationStore(Context& context)
    : context(context)
{
}

std::string ConfigurationStore::path() const
{
    return this->context.settings.dataFolder + "/configuration";
}

ErrorOr<void> ConfigurationStore::load()
{
    if (this->context.settings.dataFolder.empty())
        return {};
    auto content = Ledger::readFile(this->path());
    if (!content)
        return {};
    auto stored = Transport::decodeValue<DurableState::PublishedConfiguration>(*content);
    if (!stored || !this->activate(*stored))
        return tl::unexpected(Error::notRun(Reason::Damaged, this->path() + " is damaged; remove it to fetch the configuration from a peer"));
    return {};
}

bool ConfigurationStore::activate(const DurableState::PublishedConfiguration& configuration)
{
    auto checked = Catalog::Catalog::create(configuration.files);
    if (!checked) {
        Telemetry::log(LogLevel::Error, "configuration-refused", "a published configuration failed validation by this software version", { { "version", std::to_string(configuration.version) }, { "faults", Settings::toText(checked.error()) } });
        return false;
    }
    this->currentCatalog = std::make_unique<const Catalog::Catalog>(std::move(checked).value());
    this->inForce = configuration;
    this->context.timeLine.record("configuration-in-force", { { "version", std::to_string(configuration.version) }, { "changeId", configuration.changeId } });
    return true;
}

void ConfigurationStore::activateIfNewer(const DurableState::PublishedConfiguration& configuration)
{
    if (configuration.version <= this->inForce.version)
        return;
    if (!this->context.settings.dataFolder.empty()) {
        // FIXME: This write blocks the event loop until the file is synced. It should move to a thread if configurations change many
        // times a second.
        auto written = Ledger::replaceFile(this->path(), Transport::encodeValue(configuration));
        if (!written) {
            Telemetry::log(LogLevel::Error, "configuration-not-stored", "the configuration could not be stored and was not put in force", { { "detail", written.error().detail } });
            return;
        }
    }
    if (this->activate(configuration) && this->changeHandler)
        this->changeHandler();
}

}
