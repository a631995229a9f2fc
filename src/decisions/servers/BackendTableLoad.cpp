#include "foxtailring/decisions/servers/BackendTable.h"

namespace foxtailring {

// Engines do not report their slots.
void BackendTable::updateLoad(std::string_view id, const BackendLoadReport &load, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    record->load = load;
    record->loadReceivedAt = now;
    LoadFigures figures;
    figures.running = load.running;
    figures.waiting = load.waiting;
    if (load.slots > 0)
        figures.slots = load.slots;
    record->reported.update(figures, now);
}

// An answer says nothing of prompts and memory, so the reports of a server that tells its pace are
// kept beside it.
void BackendTable::recordFigures(std::string_view id, const LoadFigures &figures, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    record->reported.update(figures, now);
    if (figures.relativeDuration)
        return m_pace.recordTold(id, *figures.relativeDuration, now);
    if (!figures.running || !figures.waiting || !figures.slots)
        return;
    record->load = BackendLoadReport {*figures.running, *figures.waiting, *figures.slots};
    record->loadReceivedAt = now;
}

} // namespace foxtailring
