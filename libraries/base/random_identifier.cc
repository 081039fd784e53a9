#include "base/random_identifier.h"

#include <random>

namespace shallotwick::base {
namespace {

std::mt19937_64& GetGenerator() {
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return generator;
}

}  // namespace

std::string MakeRandomIdentifier() {
  constexpr int kDigits = 32;
  constexpr int kDigitsPerDraw = 16;
  constexpr char kAlphabet[] = "0123456789abcdef";
  std::string identifier;
  identifier.reserve(kDigits);
  for (int drawn = 0; drawn < kDigits; drawn += kDigitsPerDraw) {
    uint64_t bits = GetGenerator()();
    for (int digit = 0; digit < kDigitsPerDraw; ++digit) {
      identifier.push_back(kAlphabet[bits & 0xF]);
      bits >>= 4;
    }
  }
  return identifier;
}

double MakeRandomFraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(GetGenerator());
}

}  // namespace shallotwick::base
