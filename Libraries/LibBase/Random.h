#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Sassafrasshift {

/// The random number generator that components are handed; a seed makes a run repeatable.
using Random = std::mt19937_64;

/// A new random identity of 128 bits, as 32 hexadecimal digits.
[[nodiscard]] std::string makeRandomIdentity(Random&);

/// A generator seeded from the operating system.
[[nodiscard]] Random makeSeededRandom();

}
