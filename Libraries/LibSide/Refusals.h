#pragma once

#include <LibPolicy/Work.h>

#include <Messages.pb.h>

namespace GraniteField::Side {

/// The policy's refusal as entries are told of it.
[[nodiscard]] inline granitefield::protocol::RefusalReason to_message(Policy::Refusal refusal)
{
    switch (refusal) {
    case Policy::Refusal::QueueFull:
        return granitefield::protocol::REFUSAL_REASON_QUEUE_FULL;
    case Policy::Refusal::ClassQueueFull:
        return granitefield::protocol::REFUSAL_REASON_CLASS_QUEUE_FULL;
    case Policy::Refusal::Displaced:
        return granitefield::protocol::REFUSAL_REASON_DISPLACED;
    case Policy::Refusal::TargetOutOfReach:
        return granitefield::protocol::REFUSAL_REASON_TARGET_OUT_OF_REACH;
    case Policy::Refusal::Deadline:
        break;
    }
    return granitefield::protocol::REFUSAL_REASON_DEADLINE;
}

}
