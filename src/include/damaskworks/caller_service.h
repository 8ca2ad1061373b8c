/// \file
/// Replies to callers' requests: submissions, states, cancellations and counts of jobs.
#pragma once

#include <damaskworks/adapter.h>
#include <damaskworks/admission.h>
#include <damaskworks/caller_authorisation.h>
#include <damaskworks/clock.h>
#include <damaskworks/job_directory.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/table_contact.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace damask::fleet {

/// Dependencies of a CallerService.
struct CallerContext {
    event_base* base = nullptr;
    const Clock& clock;
    Metrics& metrics;
    SharedTable& table;
    const Codec& codec;
    const JobDirectory& directory;
    /// Returns the time up to which the directory contains all changes of jobs in the table.
    std::function<TimePoint()> directoryCurrentAsOf;
    /// Returns the time up to which the configuration contains all changes by the operators.
    std::function<TimePoint()> configCurrentAsOf;
    /// Age from which a configuration may have been replaced for too long to decide about requests.
    milliseconds maxConfigAge;
    const TableContact& tableContact;
    std::size_t maxRowBytes = defaultMaxRowBytes; ///< largest value of a row of the table
    milliseconds keyRevocationTime { 0 }; ///< see NodeSettings
    AdmissionControl* admission = nullptr; ///< decides about submissions; nullptr: all are accepted
    /// Time for which a job that was cancelled before it was accepted stays cancelled at least, for requests
    /// that submit it again; not under 10 s.
    milliseconds cancelledJobRetention { 10'000 };
};

/// Serves callers on any node. A job is accepted once its row is committed, whichever node will run it.
class CallerService {
public:
    explicit CallerService(CallerContext context);
    /// Sets the current configuration and its keys; nullptr before there is one.
    void setConfig(std::shared_ptr<const FleetConfig> config, CallerKeys keys);
    /// Sets whether the directory has loaded all jobs.
    void setDirectoryLoaded(bool loaded) { m_directoryLoaded = loaded; }
    /// Handles one request and replies to it, at once or later.
    void handle(std::shared_ptr<HttpExchange> exchange);
    /// Returns the number of requests without a reply.
    std::size_t activeRequests() const { return m_activeRequests; }
    /// Removes expired fences of one part, unless a removal is under way. Cancellations of unknown jobs
    /// remove some as well; one node of the fleet calls this now and then, so that none stay when there are
    /// no more of those.
    void removeExpiredFences();

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;
    /// Decides whether the request may be handled; replies to it if not.
    bool authorise(const CallPointer& call);
    /// Whether the caller may access the job; replies to the request if not.
    bool mayAccessOrReply(const CallPointer& call, const JobRecord& record);
    void countRefusal(std::string_view reason);
    void submit(const CallPointer& call);
    /// Replies to a submission whose job exists already, was cancelled, or names an epoch that is over.
    void resolveConflict(const CallPointer& call);
    /// The same, if the table has no such job.
    void resolveAbsentJob(const CallPointer& call);
    /// Submits the job again under the present epoch of its part.
    void renewEpoch(const CallPointer& call);
    void commitJob(const CallPointer& call);
    /// The rows of the call's job, under conditions that its cancellation at any node makes fail.
    static TableTransaction jobTransaction(const Call& call);
    void onSubmitted(const CallPointer& call, TableResult<Version> result);
    void logFailedAttempt(const Call& call, TableFailure failure) const;
    void readState(const CallPointer& call);
    void readRecord(const CallPointer& call, std::function<void(std::optional<JobRecord>)> onRead);
    /// Reads a row of jobTable in the call's part; replies to the call if that fails.
    void readRow(const CallPointer& call, std::string key, std::function<void(const TableRow*)> onRead);
    void cancel(const CallPointer& call);
    /// Keeps a job that is not accepted from being stored by any submission under way.
    void commitFence(const CallPointer& call);
    /// Cancels the job if it has been accepted meanwhile, else tries again.
    void onFenceConflict(const CallPointer& call);
    /// Notes which fences have expired.
    void ageFences();
    /// Adds the removal of expired fences to \p transaction, if there are at least \p least of them in its
    /// part.
    void addExpiredFences(TableTransaction& transaction, std::size_t least);
    void commitCancellation(const CallPointer& call);
    /// Calls \p operation again after a backoff.
    void retry(const CallPointer& call, void (CallerService::*operation)(const CallPointer&));
    bool hasTimeLeft(const Call& call) const;
    bool isConfigOutdated() const;
    /// Whether the directory may be used to count jobs.
    bool isDirectoryRecent() const;
    void refuseByOutdatedConfig(const CallPointer& call);
    milliseconds attemptTimeout(const Call& call) const;
    /// Replies, and logs and counts the response. \p outcome goes into the log only.
    void reply(const CallPointer& call, int status, std::string body, std::string_view outcome);

    CallerContext m_context;
    std::shared_ptr<const FleetConfig> m_config;
    CallerKeys m_keys; ///< of m_config
    bool m_directoryLoaded = false;
    std::size_t m_activeRequests = 0;
    Version m_expiredVersion = 0; ///< fences up to this version have been there for the retention
    Version m_agingVersion = 0; ///< fences up to this version were there at m_agingSince
    TimePoint m_agingSince {};
    bool m_isRemovingFences = false;
    std::string m_lastCleanedPart; ///< part of the last removal without a cancellation
};

} // namespace damask::fleet
