#include <LibEntry/Call.h>

namespace GraniteField::Entry {

std::string_view to_string(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Cut:
        break;
    }
    return "cut";
}

}
