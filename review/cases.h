/// \file
/// The cases of the review that are scripts.
#pragma once

#include "deployment.h"

namespace damask::review {

/// The connections to the store go silent for good while new ones work.
Verdict playSilentConnections(const std::string& recordPath);
/// All processes but one are removed, and the store performs two writes late and without an answer.
Verdict playLoneSurvivor(const std::string& recordPath);
/// A job that runs many times is handed in.
Verdict playRecurringJob(const std::string& recordPath);
/// Two of forty jobs that last can never be done.
Verdict playHopelessJobs(const std::string& recordPath);
/// The store holds the rows of the jobs of five hours.
Verdict playKeptJobs(const std::string& recordPath);

} // namespace damask::review
