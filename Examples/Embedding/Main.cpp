// Embeds the core of the dispatcher: announces one target and requests a grant to run work on it.
#include <LibDispatch/Dispatcher.h>
#include <iostream>

using namespace Sassafrasshift;

int main()
{
    SystemClock clock;
    Dispatch::Dispatcher dispatcher({ .host = "example" }, 1, clock.now());
    Membership::TargetReport report;
    report.identity = "worker-1";
    report.pool = "pool";
    report.capacity = { 4000, 0, 0 };
    dispatcher.updateTarget(report, clock.now());
    Dispatch::GrantRequest request;
    request.id = { "example", 1 };
    request.pool = "pool";
    request.queueLimit = 10;
    request.waitLimit = 1000;
    dispatcher.request(request, clock.now());
    for (const auto& command : dispatcher.takeCommands()) {
        if (const auto* grant = std::get_if<Dispatch::Grant>(&command))
            std::cout << "granted a slot on target " << grant->target << "\n";
    }
    return 0;
}
