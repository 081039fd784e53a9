#pragma once

#include <array>

#include "base/log.h"

// The log events of all processes. A test checks that docs/LOGS.md lists the
// same events. Numbers are never reused.
namespace shallotwick::base::events {

// 1xx: all processes.
inline constexpr LogEvent kStarted{101, "started", Severity::kInfo,
                                   "The process is up and listens."};
inline constexpr LogEvent kStopping{
    102, "stopping", Severity::kInfo,
    "A stop was asked for; no new work is taken."};
inline constexpr LogEvent kStopped{103, "stopped", Severity::kInfo,
                                   "The process ends."};
inline constexpr LogEvent kStoreUnreachable{
    110, "store-unreachable", Severity::kWarning,
    "The table service did not answer; it is tried again with backoff."};
inline constexpr LogEvent kStoreReachable{111, "store-reachable",
                                          Severity::kInfo,
                                          "The table service answers again."};
inline constexpr LogEvent kHandlerFailed{
    113, "handler-failed", Severity::kError,
    "An unexpected error ended one step; the process goes on."};
inline constexpr LogEvent kCallMisdirected{
    114, "call-misdirected", Severity::kWarning,
    "A call meant for another system or incarnation was refused."};
inline constexpr LogEvent kRecipientReplaced{
    115, "recipient-replaced", Severity::kWarning,
    "Another process answers at an address; calls to the former one stop."};
inline constexpr LogEvent kStoreContentInvalid{
    112, "store-content-invalid", Severity::kError,
    "A row does not have the expected form; what depends on it waits."};

// 2xx: gateway.
inline constexpr LogEvent kViewInForce{
    201, "view-in-force", Severity::kInfo,
    "A newer routing view governs this gateway."};
inline constexpr LogEvent kViewRefused{
    202, "view-refused", Severity::kWarning,
    "A routing view older than the one in force was refused."};
inline constexpr LogEvent kReady{203, "ready", Severity::kInfo,
                                 "The gateway takes requests."};
inline constexpr LogEvent kNotReady{
    204, "not-ready", Severity::kWarning,
    "The gateway takes no new requests; the reason is named."};
inline constexpr LogEvent kViewUnidentified{
    205, "view-unidentified", Severity::kWarning,
    "Views of a sender that names no system are left aside; the table service "
    "is read instead."};
inline constexpr LogEvent kViewDiscarded{
    206, "view-discarded", Severity::kError,
    "The view in force is of another system than the table service's."};
inline constexpr LogEvent kRequestOutcomeUnknown{
    210, "request-outcome-unknown", Severity::kWarning,
    "A request was sent but its answer was not had."};
inline constexpr LogEvent kTargetUnresponsive{
    211, "target-silent", Severity::kWarning,
    "A target gave no first byte in time; its old connections are dropped."};
inline constexpr LogEvent kMemberLeaseLost{
    220, "member-lease-lost", Severity::kWarning,
    "The membership row is gone or another's; the gateway joins anew."};
inline constexpr LogEvent kMalformedFrame{
    230, "malformed-frame", Severity::kWarning,
    "A message from another process could not be read; it was refused."};

// 3xx: controller.
inline constexpr LogEvent kLeaseAcquired{
    301, "lease-acquired", Severity::kInfo,
    "This controller acts for the fleet from now on."};
inline constexpr LogEvent kLeaseLost{
    302, "lease-lost", Severity::kWarning,
    "Another controller acts, or the lease could not be renewed."};
inline constexpr LogEvent kHostTransition{
    310, "host-transition", Severity::kInfo,
    "A host changed its pool or its state."};
inline constexpr LogEvent kRebootRequested{
    311, "reboot-requested", Severity::kInfo, "A drained host is rebooted."};
inline constexpr LogEvent kRebootFailed{
    312, "reboot-failed", Severity::kWarning,
    "The platform did not take the reboot; it is asked again."};
inline constexpr LogEvent kTransitionConflict{
    313, "transition-conflict", Severity::kWarning,
    "A host changed under the controller; it reads its state anew."};
inline constexpr LogEvent kDocumentInForce{
    320, "document-in-force", Severity::kInfo,
    "An accepted version of the document governs the fleet."};
inline constexpr LogEvent kPromiseUnmet{
    321, "promise-short", Severity::kWarning,
    "A pool has fewer hosts than promised and none is spare."};

// 4xx: admin.
inline constexpr LogEvent kSubmissionAccepted{
    401, "submission-accepted", Severity::kInfo,
    "An edit of a section became an accepted version."};
inline constexpr LogEvent kSubmissionRejected{
    402, "submission-rejected", Severity::kInfo,
    "An edit was rejected; the reason is named."};
inline constexpr LogEvent kSubmissionDisputed{
    403, "submission-disputed", Severity::kInfo,
    "An edit collides with other sections and waits for a ruling."};

// 5xx: scheduler.
inline constexpr LogEvent kPoolClaimed{501, "pool-claimed", Severity::kInfo,
                                       "This host owns a pool from now on."};
inline constexpr LogEvent kPoolLoaded{
    502, "pool-loaded", Severity::kInfo,
    "A pool's jobs and roster are read; its targets are asked for their runs."};
inline constexpr LogEvent kPoolLost{
    503, "pool-lost", Severity::kWarning,
    "Another host owns the pool; no more orders are given."};
inline constexpr LogEvent kPoolReleased{
    504, "pool-released", Severity::kInfo,
    "The pool was given up, so that another host takes it at once."};
inline constexpr LogEvent kSessionReplaced{
    505, "session-replaced", Severity::kError,
    "Another process holds this host's session; this one ends."};
inline constexpr LogEvent kConfigInForce{
    506, "config-in-force", Severity::kInfo,
    "A newer configuration governs this host."};
inline constexpr LogEvent kRoutePlaced{
    507, "route-placed", Severity::kInfo,
    "The store names the service that accepts the jobs of a route."};
inline constexpr LogEvent kPoolLoadSlow{
    508, "pool-load-slow", Severity::kWarning,
    "A pool that this host owns is not loaded yet; the step, what was read and "
    "the last error are named."};
inline constexpr LogEvent kPoolGivenUp{
    509, "pool-given-up", Severity::kWarning,
    "A pool could not be loaded and is released, so that another host owns "
    "it."};
inline constexpr LogEvent kPoolHandedOver{
    516, "pool-handed-over", Severity::kInfo,
    "A pool overloads this host; it is released for a stronger one."};
inline constexpr LogEvent kPoolWithoutRunner{
    517, "pool-without-runner", Severity::kWarning,
    "This host owns a pool that it does not run, and claims it anew."};
inline constexpr LogEvent kJobMoved{
    518, "job-moved", Severity::kInfo,
    "A job without runs continues at the service that serves its route now."};
inline constexpr LogEvent kJobMoveRejected{
    519, "job-move-rejected", Severity::kError,
    "The store does not take the rows of a job for its new service; it stays "
    "with the former one."};
inline constexpr LogEvent kJobAccepted{510, "job-accepted", Severity::kInfo,
                                       "A job is stored and will run."};
inline constexpr LogEvent kJobRefused{
    511, "job-refused", Severity::kInfo,
    "A job was not stored and never runs; the reason is named."};
inline constexpr LogEvent kJobOutcomeUnknown{
    512, "job-outcome-unknown", Severity::kWarning,
    "A call for a job ended without an answer of the store."};
inline constexpr LogEvent kJobCancelled{513, "job-cancelled", Severity::kInfo,
                                        "A job was cancelled by a caller."};
inline constexpr LogEvent kJobEndStored{
    514, "job-end-stored", Severity::kInfo,
    "The end of a job is stored; the version of its row is named."};
inline constexpr LogEvent kJobEndRelayed{
    515, "job-end-relayed", Severity::kInfo,
    "A caller was told the end of a job by its owner, not by the store."};
inline constexpr LogEvent kTaskDecision{
    520, "task-decision", Severity::kInfo,
    "A decision on one run of a task; what, where and why are named."};
inline constexpr LogEvent kTargetEnded{
    521, "target-gone", Severity::kInfo,
    "A silent target has certainly ended; its tasks may start elsewhere."};
inline constexpr LogEvent kTargetAlive{
    522, "target-alive", Severity::kWarning,
    "A target that was counted as ended reports; the wrong reason is named."};
inline constexpr LogEvent kRegistryEntryRefused{
    523, "registry-entry-refused", Severity::kWarning,
    "An entry of the registry names no target to use; the reason is named."};
inline constexpr LogEvent kHostOperation{
    530, "host-operation", Severity::kInfo,
    "A move or an upkeep of a host was asked of the platform."};
inline constexpr LogEvent kPoolCapacity{
    532, "pool-capacity", Severity::kInfo,
    "A pool wants or has another number of hosts."};
inline constexpr LogEvent kProgressBacklog{
    533, "progress-backlog", Severity::kWarning,
    "More progress waits for the store than it takes at a time."};
inline constexpr LogEvent kStartsLimited{
    534, "starts-limited", Severity::kWarning,
    "Late or missing answers made the owner of a pool send fewer starts at a "
    "time, or no longer do so."};
inline constexpr LogEvent kConnectionsShort{
    535, "connections-short", Severity::kWarning,
    "The limit on open files began or ceased to allow fewer connections than "
    "the pools of a host have targets."};
inline constexpr LogEvent kProgressRejected{
    536, "progress-rejected", Severity::kError,
    "The store does not take the progress of a job; it is tried again from "
    "time to time."};
inline constexpr LogEvent kHostOperationGivenUp{
    537, "host-operation-given-up", Severity::kWarning,
    "An order for a host is no longer repeated: the right to it has ended, or "
    "what runs there forbids it."};
inline constexpr LogEvent kConfigPartInvalid{
    540, "config-part-invalid", Severity::kError,
    "A part of a configuration cannot be used; the rest is in force."};
inline constexpr LogEvent kCallUnauthorized{
    541, "call-unauthorized", Severity::kInfo,
    "A call was refused for its key; the reason and the configuration's "
    "version and age are named."};
inline constexpr LogEvent kCustomerLimited{
    542, "customer-limited", Severity::kInfo,
    "Tasks of a customer began or ceased to wait for its limit in a pool."};
inline constexpr LogEvent kCustomerUse{
    543, "customer-use", Severity::kInfo,
    "What one of the customers that use the most of a pool uses, beside its "
    "share by weight."};
inline constexpr LogEvent kWaveProgress{
    531, "wave-progress", Severity::kInfo,
    "A maintenance wave has begun, gone on or ended."};

inline constexpr std::array kAll = {kStarted,
                                    kStopping,
                                    kStopped,
                                    kStoreUnreachable,
                                    kStoreReachable,
                                    kStoreContentInvalid,
                                    kHandlerFailed,
                                    kCallMisdirected,
                                    kRecipientReplaced,
                                    kViewInForce,
                                    kViewRefused,
                                    kReady,
                                    kNotReady,
                                    kViewUnidentified,
                                    kViewDiscarded,
                                    kRequestOutcomeUnknown,
                                    kTargetUnresponsive,
                                    kMemberLeaseLost,
                                    kMalformedFrame,
                                    kLeaseAcquired,
                                    kLeaseLost,
                                    kHostTransition,
                                    kRebootRequested,
                                    kRebootFailed,
                                    kTransitionConflict,
                                    kDocumentInForce,
                                    kPromiseUnmet,
                                    kSubmissionAccepted,
                                    kSubmissionRejected,
                                    kSubmissionDisputed,
                                    kPoolClaimed,
                                    kPoolLoaded,
                                    kPoolLost,
                                    kPoolReleased,
                                    kSessionReplaced,
                                    kConfigInForce,
                                    kRoutePlaced,
                                    kPoolLoadSlow,
                                    kPoolGivenUp,
                                    kPoolHandedOver,
                                    kPoolWithoutRunner,
                                    kJobMoved,
                                    kJobMoveRejected,
                                    kJobAccepted,
                                    kJobRefused,
                                    kJobOutcomeUnknown,
                                    kJobCancelled,
                                    kJobEndStored,
                                    kJobEndRelayed,
                                    kTaskDecision,
                                    kTargetEnded,
                                    kTargetAlive,
                                    kRegistryEntryRefused,
                                    kHostOperation,
                                    kPoolCapacity,
                                    kStartsLimited,
                                    kConnectionsShort,
                                    kProgressBacklog,
                                    kProgressRejected,
                                    kHostOperationGivenUp,
                                    kConfigPartInvalid,
                                    kCallUnauthorized,
                                    kCustomerLimited,
                                    kCustomerUse,
                                    kWaveProgress};

}  // namespace shallotwick::base::events
