#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Sassafrasshift {

/// The random number generator that is passed to components. A fixed seed makes a run reproducible.
using Random = std::mt19937_64;

/// A random identifier of 128 bits, formatted as 32 hexadecimal digits.
[[nodiscard]] std::string makeRandomIdentity(Random&);

/// A generator whose seed comes from the operating system's entropy source.
[[nodiscard]] Random makeEntropySeededRandom();

}
