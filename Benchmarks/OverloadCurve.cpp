#include "OverloadModel.h"
#include <cstdio>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

// Prints what a dispatcher serves at multiples of the load that it can handle, on a fake clock. Refusals by entry hosts are in the column
// local/s, those by the dispatcher in disp/s.
static void printCurve(bool controlsAdmission)
{
    std::printf("admission control %s\n%6s %8s %8s %8s %8s %10s %8s %8s %12s\n", controlsAdmission ? "on" : "off", "load", "offered", "served/s", "local/s", "disp/s", "unanswered", "lagMs", "refusalMs", "recovery %");
    for (double load : { 0.5, 0.8, 0.95, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0 }) {
        OverloadModel model({ .controlsAdmission = controlsAdmission });
        model.run(0.8, 3s);
        model.run(load, 3s);
        const auto& result = model.run(load, 20s);
        model.run(0.8, 2s);
        const auto& after = model.run(0.8, 5s);
        model.run(0, 2s);
        auto perSecond = [](size_t count) { return static_cast<double>(count) / 20; };
        std::printf("%6.2f %8.0f %8.0f %8.0f %8.0f %10.0f %8lld %8lld %12.1f\n", load, perSecond(result.offered), perSecond(result.served), perSecond(result.refusedLocally), perSecond(result.refusedByDispatcher), perSecond(result.unanswered),
            static_cast<long long>(result.longestLag.count()), static_cast<long long>(result.longestRefusal.count()), 100.0 * static_cast<double>(after.served) / static_cast<double>(after.offered));
    }
}

int main()
{
    printCurve(false);
    printCurve(true);
}
