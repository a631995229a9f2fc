#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/decisions/admission/AdmissionController.h"
#include "foxtailring/decisions/admission/ResumeAdmission.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/decisions/placement/PrefixHints.h"
#include "foxtailring/decisions/placement/Router.h"
#include "foxtailring/decisions/servers/ServerTable.h"
#include "foxtailring/entry/EntrySettings.h"
#include "foxtailring/transport/WorkerPool.h"

#include "AdmissionGate.h"
#include "GenerationDirectory.h"
#include "LingeringStreams.h"
#include "ResumeGate.h"
#include "RunnerTable.h"
#include "SidecarLinks.h"

namespace foxtailring {

class CallRunner;
class GenerationRunner;

/// \brief What the parts of one entry share. Every member is thread-safe.
struct EntryParts
{
    explicit EntryParts(EntrySettings entrySettings);
    ~EntryParts();
    EntryParts(const EntryParts &) = delete;
    EntryParts &operator=(const EntryParts &) = delete;

    const EntrySettings settings;
    const Clock clock;
    WorkerPool pool;
    MetricRegistry metrics;
    ConfigState config;
    ServerTable servers;
    PrefixHints hints;
    Router router;
    RetryBudget retries;
    ResumeAdmission resumeAdmission;
    AdmissionController admissionController;
    AdmissionGate admission;
    ResumeGate resumes;
    SidecarLinks links;
    LingeringStreams lingering;
    GenerationDirectory directory;
    RunnerTable<GenerationRunner> generations;
    RunnerTable<CallRunner> calls;
};

} // namespace foxtailring
