#pragma once

#include "foxtailring/decisions/quarantine/SuspectRecord.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailring {

/// \brief The suspects of a process, by name, and which of them each crash has in common.
///
/// Bounded; not thread-safe.
class SuspectTable
{
public:
    using Records = std::map<std::string, SuspectRecord, std::less<>>;
    using Names = std::set<std::string, std::less<>>;
    using CrashFilter = std::function<bool(const SuspectRecord::Crash &)>;

    explicit SuspectTable(std::size_t maxSuspects);

    const Records &records() const { return m_records; }
    std::size_t size() const { return m_records.size(); }
    /// \brief Null if \a name is no suspect.
    SuspectRecord *find(std::string_view name);
    const SuspectRecord *find(std::string_view name) const;
    /// \brief Adds \a name if it is none yet. The one with the fewest and oldest crashes makes
    /// room: one of its kind, if that has its share (whole requests half of the table, parts the
    /// rest). Null if there is no room.
    SuspectRecord *findOrAdd(const std::string &name);
    /// \brief Calls \a visit for each suspect. It must not add any.
    void forEach(const std::function<void(const std::string &name, SuspectRecord &)> &visit);
    /// \brief Removes the suspects for which \a isRemoved is true.
    void removeIf(const std::function<bool(const SuspectRecord &)> &isRemoved);

    /// \brief The crash of a server in the record of \a name, which is made of \a crash if there is
    /// none yet; an older one makes room. Null: no room, or no such suspect.
    SuspectRecord::Crash *findOrAddCrash(const std::string &name, const std::string &incarnation,
                                         const SuspectRecord::Crash &crash);
    /// \brief Removes the crashes of \a name for which \a isRemoved is true; returns their number.
    std::size_t removeCrashes(const std::string &name, const CrashFilter &isRemoved);
    bool removeCrash(const std::string &name, std::string_view incarnation);
    /// \brief The suspects that have the crash of this start of a server in their records.
    const Names &suspectsOf(std::string_view incarnation) const;
    /// \brief Those that have any of these crashes.
    Names suspectsOf(const Names &incarnations) const;
    /// \brief The requests with a part that were at all its crashes.
    Names requestsAtAllCrashes(std::string_view part) const;

private:
    /// Those of one kind: whole requests, or parts.
    struct Kind
    {
        std::size_t size = 0;
        Records::iterator least; ///< the first to make room; the end: none may
        std::pair<std::size_t, TimePoint> rank {SIZE_MAX, TimePoint::max()};
    };

    void makeRoom(const std::string &newcomer);
    /// \brief Removes the oldest crash of \a name. False if it is not older than \a at.
    bool removeCrashBefore(const std::string &name, TimePoint at);
    void remove(Records::iterator record);
    void unlink(const std::string &name, std::string_view incarnation);

    const std::size_t m_maxSuspects;
    Records m_records;
    std::map<std::string, Names, std::less<>> m_namesByCrash; ///< by incarnation
};

} // namespace foxtailring
