/// \file
/// Reads the questionnaire that operators fill in for a team, and derives the team's configuration from it.
#ifndef RAGWORTCART_MODEL_QUESTIONNAIRE_H
#define RAGWORTCART_MODEL_QUESTIONNAIRE_H

#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Support/Settings.h"

#include <string>
#include <vector>

namespace ragwort {

/// A configuration value with the questionnaire answer from which it is derived.
struct ValueProvenance
{
    /// For example "search roster: urgency".
    std::string subject;
    std::string value;
    /// "line N: section.key", or "default" for an answer that is absent.
    std::string origin;
};

/// A finding that operators should know about but that is not an error.
struct QuestionnaireWarning
{
    std::string text;
};

struct Questionnaire
{
    TeamConfiguration team;
    std::vector<ValueProvenance> provenance;
    std::vector<QuestionnaireWarning> warnings;
    /// Descriptions for operators of how the tier will behave.
    std::vector<std::string> explanation;

    /// Reads all answers. Errors and contradictory answers are recorded in \p settings.
    static Questionnaire read(Settings &settings);
};

} // namespace ragwort

#endif
