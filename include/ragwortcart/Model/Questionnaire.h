/// \file
/// The questionnaire that operators fill in for a team, its faults and contradictions, and the configuration made from it.
#ifndef RAGWORTCART_MODEL_QUESTIONNAIRE_H
#define RAGWORTCART_MODEL_QUESTIONNAIRE_H

#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Support/Settings.h"

#include <string>
#include <vector>

namespace ragwort {

/// One value of the configuration with the answer that caused it.
struct TracedValue
{
    /// For example "kind roster: urgency".
    std::string subject;
    std::string value;
    /// "file:line: section.key = answer", or "default".
    std::string cause;
};

/// What operators should know though it is no fault.
struct QuestionnaireWarning
{
    std::string text;
};

struct Questionnaire
{
    TeamConfiguration team;
    std::vector<TracedValue> trace;
    std::vector<QuestionnaireWarning> warnings;
    /// Sentences in plain words on what the tier will do.
    std::vector<std::string> explanation;

    /// Reads all answers; faults and contradictions stay with \p settings.
    static Questionnaire read(Settings &settings);
};

} // namespace ragwort

#endif
