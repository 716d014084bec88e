#include <LibBase/Random.h>
#include <array>
#include <cstdio>

namespace Sassafrasshift {

std::string makeRandomIdentity(Random& random)
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
        static_cast<unsigned long long>(random()), static_cast<unsigned long long>(random()));
    return text.data();
}

Random makeEntropySeededRandom()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    return Random { seed };
}

}
