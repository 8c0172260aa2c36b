#pragma once

#include <LibCore/Address.h>
#include <LibCore/StrongInteger.h>
#include <LibCore/Time.h>
#include <LibTable/Rows.h>

#include <cstddef>
#include <limits>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::Platform {

using Json = nlohmann::json;

/// Version that the store gives an object at each write: the store's revision of that write.
using ObjectVersion = Core::StrongInteger<struct ObjectVersionTag>;

/// The store's revision: it rises with every change of any object.
using StoreRevision = Core::StrongInteger<struct StoreRevisionTag>;

struct Object {
    std::string name;
    ObjectVersion version;
    /// Parts that can't be parsed are discarded values.
    Json spec;
    /// Why the object or a part of its spec can't be read; empty if all of it can.
    std::string problem {};
};

enum class EventKind {
    Changed,
    Removed,
};

/// Something in an answer of the store that is no object of ours, and why. All else in the answer holds.
struct UnreadableObject {
    /// Empty where not even that can be read.
    std::string name;
    std::string reason;
};

/// Whose specs a reader uses. Those of others are not parsed, so that they take no memory.
struct ObjectFilter {
    /// Size of a name, and of a spec's text, beyond which the object is unreadable.
    std::size_t max_bytes {std::numeric_limits<std::size_t>::max()};
    /// The only name of interest; empty for all names. Objects of other names have no spec.
    std::string name {};
};

/// Size of an object that has a few short fields: of a server, a drain or a quarantined request.
inline constexpr std::size_t s_max_entry_bytes = 16U << 10U;

struct ObjectListing {
    StoreRevision revision;
    std::vector<Object> objects;
    std::vector<UnreadableObject> unreadable;
    /// The greatest name among all of them, behind which a list goes on; lists are in the order of names.
    std::string last_name;
};

struct StoreEvent {
    EventKind kind {EventKind::Changed};
    Object object;
};

struct WatchAnswer {
    /// To go on from.
    StoreRevision revision;
    /// In the order of the changes, those of objects that can't be read among them.
    std::vector<StoreEvent> events;
};

/// When a backend server started, as it says itself: it tells its lives apart, and is never compared with a clock.
using BirthTime = std::chrono::sys_time<Core::Milliseconds>;

/// A backend server as its own entry in the store describes it.
struct ServerEntry {
    /// The server's name. One that starts again may have the same one.
    std::string instance;
    std::string service;
    Core::Address address;
    std::string failure_domain;
    /// Requests that it works on at once.
    unsigned slots {1};
    Table::BackendServerState state {Table::BackendServerState::Serving};
    /// The start of 1970 where it does not say.
    BirthTime born {};
    /// Until then it bears few requests, by this process's clock; the clock's beginning where it says that it is warm,
    /// so that entries that say the same are equal.
    Core::MonotonicTime cold_until {};
    /// Version of its software. Streams can continue only at a server of the same version. Empty where it does not say.
    std::string software_version {};

    /// Whether this is what an earlier life of that server said.
    [[nodiscard]] bool is_of_earlier_life_than(ServerEntry const& other) const { return born < other.born; }

    bool operator==(ServerEntry const&) const = default;
};

/// The store gave no usable answer. What was asked may have taken effect or not.
class PlatformUnavailable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The store refused the call since too many come. Refused calls may count as well, so that whoever comes back too
/// soon keeps the rate used up.
class PlatformOverRate : public PlatformUnavailable {
public:
    using PlatformUnavailable::PlatformUnavailable;
};

/// A conditional write found another version than it expected.
class VersionConflict : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The store no longer has the history that a watch wants to go on from.
class HistoryGone : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

}
