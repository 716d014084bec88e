#include <LibCatalog/Catalog.h>
#include <cstdint>
#include <string>

using namespace Sassafrasshift;

// Parses arbitrary text as a file of configuration objects. The result is either a catalog or a non-empty list of errors.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto result = Catalog::Catalog::create({ { "fuzz.yaml", std::string(reinterpret_cast<const char*>(data), size) } });
    if (!result && result.error().empty())
        __builtin_trap();
    return 0;
}
