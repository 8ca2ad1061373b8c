/// \file
/// Numbers of a scheduled job's occurrences that have ended. A job may have many thousands of them, most of
/// which end in the order of their numbers, so they are kept as ranges.
#pragma once

#include <map>

namespace damask::fleet {

/// A set of numbers, as ranges that neither overlap nor touch.
struct EndedOccurrences {
    std::map<int, int> ranges; ///< last number by first number
    int count = 0; ///< of all numbers in the ranges
};

bool contains(const EndedOccurrences& ended, int number);
/// Adds the numbers from \p first to \p last, some of which may be in the set already.
void addRange(EndedOccurrences& ended, int first, int last);

} // namespace damask::fleet
