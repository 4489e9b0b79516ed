#include "ragwortcart/Operator/DocumentStore.h"
#include "ragwortcart/Emulator/FakeStore.h"

#include <QJsonDocument>
#include <deque>
#include <gtest/gtest.h>

namespace ragwort {

enum class StoreFault {
    none,
    /// The write takes effect, but its answer is lost.
    writeAnswerLost,
    /// The write does not take effect.
    writeLost,
    readLost
};

/// A fake store with scripted faults, one per call of `read` or `write`.
class FaultyKeyValueStore final : public KeyValueStore
{
public:
    Result<StoredDocument> read(const std::string &key) override
    {
        if (this->nextFault() == StoreFault::readLost) {
            return Error{.code = Errc::storeUnavailable, .step = "read", .peer = "store", .detail = {}};
        }
        const std::optional<StoredEntry> entry = this->store.get(key);
        return entry ? StoredDocument{.json = QByteArray::fromStdString(entry->value), .modifyIndex = entry->modifyIndex} : StoredDocument{};
    }

    StoreWriteOutcome write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex) override
    {
        const StoreFault fault = this->nextFault();
        if (fault == StoreFault::writeLost) {
            return StoreWriteOutcome::unknown;
        }
        if (this->beforeWrite) {
            std::exchange(this->beforeWrite, nullptr)();
        }
        const bool written = this->store.put(key, value.toStdString(), expectedIndex);
        if (fault == StoreFault::writeAnswerLost) {
            return StoreWriteOutcome::unknown;
        }
        return written ? StoreWriteOutcome::written : StoreWriteOutcome::conflict;
    }

    StoreFault nextFault()
    {
        if (this->faults.empty()) {
            return StoreFault::none;
        }
        const StoreFault fault = this->faults.front();
        this->faults.pop_front();
        return fault;
    }

    FakeStore store;
    std::deque<StoreFault> faults;
    /// Called once, before the next write that is not lost.
    std::function<void()> beforeWrite;
};

class DocumentStoreTest : public ::testing::Test
{
protected:
    static QByteArray document(int value)
    {
        return "{\"name\":\"x\",\"value\":" + QByteArray::number(value) + "}";
    }

    int current()
    {
        return QJsonDocument::fromJson(this->documents.read("team.x")->json).object().value("value").toInt();
    }

    FaultyKeyValueStore keyValueStore;
    DocumentStore documents{keyValueStore, "test"};
};

TEST_F(DocumentStoreTest, applyIncrementsTheSequenceAndKeepsTheHistory)
{
    EXPECT_EQ(this->documents.apply("team.x", document(1), 0).sequence, 1U);
    EXPECT_EQ(this->documents.apply("team.x", document(2), 1).sequence, 2U);
    EXPECT_EQ(this->documents.readHistory("team.x", 1)->json, withSequence(document(1), 1, "test:1"));
}

TEST_F(DocumentStoreTest, changeOnAStaleBaseConflictsAndKeepsTheDocument)
{
    this->documents.apply("team.x", document(1), 0);
    this->documents.apply("team.x", document(2), 1);
    const ApplyReport report = this->documents.apply("team.x", document(3), 1);
    EXPECT_EQ(report.outcome, ApplyOutcome::conflict);
    EXPECT_EQ(report.sequence, 2U);
    EXPECT_EQ(this->current(), 2);
    EXPECT_EQ(diffDocuments(report.current, document(3)), (std::vector<std::string>{"- value = 2", "+ value = 3"}));
}

TEST_F(DocumentStoreTest, concurrentChangeOnTheSameBaseIsReportedAsAConflict)
{
    this->documents.apply("team.x", document(1), 0);
    this->keyValueStore.faults = {StoreFault::none, StoreFault::none};
    // Another writer replaces the document after this one has read it.
    this->keyValueStore.beforeWrite = [this] {
        const auto entry = this->keyValueStore.store.get("ragwort/config/team.x");
        this->keyValueStore.store.put("ragwort/config/team.x", withSequence(document(9), 2, "other").toStdString(), entry->modifyIndex);
    };
    const ApplyReport report = this->documents.apply("team.x", document(2), 1);
    EXPECT_EQ(report.outcome, ApplyOutcome::conflict);
    EXPECT_EQ(this->current(), 9);
}

TEST_F(DocumentStoreTest, lostWriteAnswerIsResolvedByReadBackAndAppliedOnce)
{
    this->documents.apply("team.x", document(1), 0);
    // The calls are a read, the write of the history and the write of the document.
    this->keyValueStore.faults = {StoreFault::none, StoreFault::none, StoreFault::writeAnswerLost};
    const ApplyReport report = this->documents.apply("team.x", document(2), 1);
    EXPECT_EQ(report.outcome, ApplyOutcome::applied);
    EXPECT_TRUE(report.resolvedByReadBack);
    EXPECT_EQ(report.sequence, 2U);
    EXPECT_EQ(sequenceOf(this->documents.read("team.x")->json), 2U);
}

TEST_F(DocumentStoreTest, lostWriteIsRetried)
{
    this->keyValueStore.faults = {StoreFault::none, StoreFault::writeLost};
    EXPECT_EQ(this->documents.apply("team.x", document(1), 0).outcome, ApplyOutcome::applied);
    EXPECT_EQ(this->current(), 1);
}

TEST_F(DocumentStoreTest, reportsAnUnknownOutcomeWhenTheStoreIsUnavailableAfterAWrite)
{
    // The first read succeeds; then all writes and reads, in turn, are lost.
    this->keyValueStore.faults.push_back(StoreFault::none);
    this->keyValueStore.faults.insert(this->keyValueStore.faults.end(), 40, StoreFault::readLost);
    for (std::size_t index = 1; index < this->keyValueStore.faults.size(); index += 2) {
        this->keyValueStore.faults[index] = StoreFault::writeLost;
    }
    EXPECT_EQ(this->documents.apply("team.x", document(1), 0).outcome, ApplyOutcome::unknown);
}

/// Guards against a store that comes back from an older copy: it gave out the sequences again that instances had in force already, so that they ignored
/// the changes, and the operator was told that those were in force.
TEST_F(DocumentStoreTest, aChangeAfterTheStoreWasRestoredExceedsWhatIsInForce)
{
    this->documents.apply("team.x", document(1), 0);
    const FakeStore copy = this->keyValueStore.store;
    this->documents.apply("team.x", document(2), 1);
    this->documents.apply("team.x", document(3), 2);
    this->keyValueStore.store = copy;
    this->documents.setSequencesInForce({{"team.x", 3}, {"tier", 9}});
    const ApplyReport report = this->documents.apply("team.x", document(4), 1);
    EXPECT_EQ(report.outcome, ApplyOutcome::applied);
    EXPECT_EQ(report.sequence, 4U);
    EXPECT_EQ(sequenceOf(this->documents.read("team.x")->json), 4U);
    EXPECT_EQ(this->documents.readHistory("team.x", 1)->json, withSequence(document(1), 1, "test:1"));
}

/// Guards against the same: the stored content counts as no change, although another one is in force.
TEST_F(DocumentStoreTest, theStoredContentIsAChangeIfALaterSequenceIsInForce)
{
    this->documents.apply("team.x", document(1), 0);
    this->documents.setSequencesInForce({{"team.x", 3}});
    EXPECT_EQ(this->documents.apply("team.x", document(1), 1).sequence, 4U);
    EXPECT_EQ(this->documents.apply("team.x", document(1), 4).outcome, ApplyOutcome::unchanged);
}

TEST_F(DocumentStoreTest, concurrentUpdatesAreBothApplied)
{
    const auto addOne = [](const QByteArray &before) {
        QJsonObject object = QJsonDocument::fromJson(before).object();
        object.insert("value", object.value("value").toInt() + 1);
        return QJsonDocument(object).toJson(QJsonDocument::Compact);
    };
    this->documents.apply("team.x", document(1), 0);
    // Another writer replaces the document after this one has read it.
    this->keyValueStore.beforeWrite = [this] {
        const auto entry = this->keyValueStore.store.get("ragwort/config/team.x");
        this->keyValueStore.store.put("ragwort/config/team.x", withSequence(document(2), 2, "other").toStdString(), entry->modifyIndex);
    };
    EXPECT_EQ(this->documents.update("team.x", addOne).outcome, ApplyOutcome::applied);
    EXPECT_EQ(this->current(), 3);
}

} // namespace ragwort
