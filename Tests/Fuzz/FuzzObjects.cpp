#include <LibCatalog/Catalog.h>
#include <cstdint>
#include <string>

using namespace Sassafrasshift;

// Checks any text as a file of objects: it has faults, or it is a set.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto result = Catalog::Catalog::create({ { "fuzz.yaml", std::string(reinterpret_cast<const char*>(data), size) } });
    if (!result && result.error().empty())
        __builtin_trap();
    return 0;
}
