#pragma once

#include <LibCore/Address.h>
#include <LibCore/StrongInteger.h>
#include <LibTable/Rows.h>

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
    Json spec;
};

struct ObjectListing {
    StoreRevision revision;
    std::vector<Object> objects;
};

enum class EventKind {
    Changed,
    Removed,
};

struct StoreEvent {
    EventKind kind {EventKind::Changed};
    Object object;
};

struct WatchAnswer {
    /// To go on from.
    StoreRevision revision;
    std::vector<StoreEvent> events;
};

/// A backend server as its own entry in the store describes it.
struct ServerEntry {
    /// One run of the server. A server that starts again, or another one at the same address, has another id.
    std::string instance;
    std::string service;
    Core::Address address;
    std::string failure_domain;
    /// Requests that it works on at once.
    unsigned slots {1};
    Table::BackendServerState state {Table::BackendServerState::Serving};

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
