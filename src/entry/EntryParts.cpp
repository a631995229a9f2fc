#include "EntryParts.h"

#include "CallRunner.h"
#include "GenerationRunner.h"

namespace foxtailring {

namespace {

AdmissionController::Settings admissionSettings(const EntrySettings &settings)
{
    AdmissionController::Settings out;
    out.minRetryAfter = settings.retryAfter;
    return out;
}

} // namespace

EntryParts::EntryParts(EntrySettings entrySettings)
    : settings(std::move(entrySettings))
    , clock(steadyClock())
    , pool(settings.threads)
    , router(servers, hints, Router::Settings {})
    , admissionController(admissionSettings(settings))
    , admission(pool, admissionController, clock)
    , resumes(pool, resumeAdmission, clock)
    , links(*this)
    , lingering(pool, clock)
    , directory(*this)
{
}

EntryParts::~EntryParts() = default;

} // namespace foxtailring
