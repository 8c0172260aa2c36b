#pragma once

#include <LibCore/Identifiers.h>
#include <LibPolicy/Work.h>
#include <Messages.pb.h>

namespace GraniteField::Protocol {

namespace Message = granitefield::protocol;

[[nodiscard]] inline Core::RequestId from_message(Message::RequestId const& message)
{
    return {message.entry(), message.sequence()};
}

/// The request and attempt that any message about an attempt names.
template <typename Body>
[[nodiscard]] Policy::WorkKey key_of(Body const& body)
{
    return {from_message(body.request()), Core::AttemptNumber(body.attempt())};
}

template <typename Body>
void set_key(Body& body, Policy::WorkKey const& key)
{
    body.mutable_request()->set_entry(key.request.entry);
    body.mutable_request()->set_sequence(key.request.sequence);
    body.set_attempt(key.attempt.value());
}

}
