/// \file
/// How long an answer is worth waiting for, from the times of earlier ones.
#pragma once

#include <chrono>

namespace damask::fleet {

/// Times of a service's answers (smoothing and variation as in RFC 6298, "Computing TCP's
/// Retransmission Timer").
struct ResponseTimes {
    std::chrono::duration<double, std::milli> mean { 0 };
    std::chrono::duration<double, std::milli> variation { 0 };
    bool known = false; ///< an answer has been seen
    int silences = 0; ///< calls in a row that were not answered
};

/// Takes in the time of an answer.
void noteAnswer(ResponseTimes& times, std::chrono::duration<double, std::milli> time);
/// A call was not answered in time; the next ones are given twice as long.
void noteSilence(ResponseTimes& times);
/// Time to wait for the next answer, at most \p limit.
std::chrono::milliseconds patience(const ResponseTimes& times, std::chrono::milliseconds limit);

} // namespace damask::fleet
