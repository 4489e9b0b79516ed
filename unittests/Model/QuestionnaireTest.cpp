#include "ragwortcart/Model/Questionnaire.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ragwort {

static std::string questionnaire(const std::string &servers, const std::string &search)
{
    return "[team]\nname = t\n[servers.g]\nservices = 2\n" + servers + "slots = 2\nconnections = 20\nconnect_time = 1ms\n[search.s]\nserved_by = g\n" + search;
}

TEST(QuestionnaireTest, derivesTheConfigurationAndRecordsTheOriginOfValues)
{
    Settings settings = Settings::fromText("q", questionnaire("servers_per_service = 3\n", "how_urgent = urgent\nanswer_within = 300ms\n"));
    const Questionnaire read = Questionnaire::read(settings);
    EXPECT_TRUE(settings.finish().empty());
    const QueryKind *kind = read.team.findKind("s");
    ASSERT_NE(kind, nullptr);
    EXPECT_EQ(kind->urgency, Urgency::urgent);
    EXPECT_EQ(kind->maximumDeadline, std::chrono::milliseconds(300));
    const auto entry
        = std::find_if(read.provenance.begin(), read.provenance.end(), [](const ValueProvenance &value) { return value.subject == "search s: urgency"; });
    ASSERT_NE(entry, read.provenance.end());
    EXPECT_EQ(entry->origin, "line 11: search.s.how_urgent");
    EXPECT_FALSE(read.explanation.empty());
}

TEST(QuestionnaireTest, reportsUrgentCompleteAnswersOnSingleServersAsContradictory)
{
    const std::string search = "how_urgent = urgent\nanswer_within = 300ms\nwhen_a_failure_domain_is_gone = full-answer-or-none\n";
    Settings settings = Settings::fromText("q", questionnaire("servers_per_service = 1\n", search));
    Questionnaire::read(settings);
    const std::vector<SettingsError> errors = settings.finish();
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].line, 13);
    EXPECT_NE(errors[0].found.find("one server only"), std::string::npos);
}

TEST(QuestionnaireTest, reportsAllErrorsInOneRun)
{
    // The errors are a number out of range, an unknown choice, a duration without a unit and an unknown key.
    Settings settings = Settings::fromText("q", questionnaire("servers_per_service = 0\n", "how_urgent = at once\nanswer_within = 5\nleast = 3\n"));
    Questionnaire::read(settings);
    EXPECT_EQ(settings.finish().size(), 4U);
}

TEST(QuestionnaireTest, reportsUnknownServersAsAnError)
{
    Settings settings = Settings::fromText("q", "[team]\nname = t\n[search.s]\nserved_by = none\nhow_urgent = ordinary\nanswer_within = 1s\n");
    Questionnaire::read(settings);
    ASSERT_EQ(settings.finish().size(), 1U);
}

} // namespace ragwort
