// Judging of finished texts, pages of results, and saving of unfinished texts; see
// batch_runner.h.
#include "batch_runner.h"

#include <algorithm>

namespace lovagerail {

namespace {

    std::string joinLines(const std::vector<std::string>& lines)
    {
        std::string out;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i > 0)
                out += '\n';
            out += lines[i];
        }
        return out;
    }

} // namespace

void batch_runner::finishText(batch_state& batch, std::size_t index, instant now)
{
    auto& item = batch.items[index];
    item.generated.complete = true;
    if (!batch.spec.items[index].judge) {
        finishItem(batch, index, true, {}, now);
        return;
    }
    item.stage = item_stage::Judging;
    m_actions.emplace_back(judge_item { batch.spec.id, index });
}

void batch_runner::finishItem(batch_state& batch, std::size_t index, bool completed, std::string score, instant now)
{
    auto& item = batch.items[index];
    item.stage = item_stage::Finished;
    item.finishedAt = now;
    item.result.item = batch.spec.items[index].id;
    item.result.completed = completed;
    if (completed) {
        item.result.text = joinLines(item.generated.data);
        item.result.versions = item.generated.versions;
        item.result.score = std::move(score);
    }
    ++(completed ? m_counts.completed : m_counts.abandoned);

    const auto& members = batch.groups[batch.spec.items[index].group];
    const bool groupComplete = std::all_of(members.begin(), members.end(), [&batch](std::size_t i) { return batch.items[i].stage >= item_stage::Finished; });
    if (groupComplete)
        onGroupComplete(batch, now);
}

// Schedules the page of a complete group. The trainer's step ends with the requested number
// of groups; earlier groups are of no use to it before that, so they wait and share pages.
void batch_runner::onGroupComplete(batch_state& batch, instant now)
{
    ++batch.completeGroups;
    const bool completesStep = batch.completeGroups >= batch.spec.requiredGroups;
    const bool nearDue = now + m_settings.pageDelayCutoff >= batch.dueAt;
    const auto writeAt = now + (completesStep || nearDue ? m_settings.pageDelay : m_settings.earlyPageDelay);
    batch.pageDue = batch.pageDue ? std::min(*batch.pageDue, writeAt) : writeAt;
}

std::vector<batch_action> batch_runner::judged(const batch_id& id, std::size_t index, judge_outcome outcome, const std::string& score, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || batch->ended || batch->items[index].stage != item_stage::Judging)
        return {};
    if (outcome == judge_outcome::Retry) {
        batch->items[index].stage = item_stage::AwaitingJudge;
        delayRetry(batch->items[index], m_settings.judgeRetryDelay, now);
    } else
        finishItem(*batch, index, outcome == judge_outcome::Scored, score, now);
    return takeActions();
}

// Writes the next page if one is due; one page at a time. A complete group is due for the
// next page, and finished items of incomplete groups go with it.
void batch_runner::writeDuePage(batch_state& batch, instant now)
{
    if (batch.writing || batch.writesDeferred || batch.ended || now < batch.nextPageWrite)
        return;
    if (batch.pageItems.empty()) {
        // Step 1. Check whether a complete group or an old result is due.
        std::vector<std::size_t> ready;
        bool overdue = false;
        for (const auto index : batch.order) {
            const auto& item = batch.items[index];
            if (item.stage != item_stage::Finished)
                continue;
            ready.push_back(index);
            overdue = overdue || now - item.finishedAt >= m_settings.maxUnlistedTime;
        }
        if (ready.empty() || !(overdue || (batch.pageDue && now >= *batch.pageDue)))
            return;

        // Step 2. Take the results in the order of finishing, as many as fit in a page.
        std::sort(ready.begin(), ready.end(), [&batch](std::size_t a, std::size_t b) {
            return std::pair(batch.items[a].finishedAt, a) < std::pair(batch.items[b].finishedAt, b);
        });
        std::size_t bytes = 0;
        for (const auto index : ready) {
            bytes += batch.items[index].result.text.size();
            if (!batch.pageItems.empty() && bytes > m_settings.pageBytes)
                break;
            batch.pageItems.push_back(index);
            batch.items[index].stage = item_stage::Writing;
        }
        batch.pageDue.reset();
        if (batch.pageItems.size() < ready.size())
            batch.pageDue = now;
    }

    // Step 3. Write the page. One whose write failed is written again unchanged, as the
    // failed write may have taken effect.
    write_page page { batch.spec.id, batch.pages, {} };
    for (const auto index : batch.pageItems)
        page.results.push_back(batch.items[index].result);
    batch.writing = true;
    m_actions.emplace_back(std::move(page));
}

// Saves unfinished long texts, so that a new owner of the batch can resume them. Short ones
// are not worth a write: generating them again costs little.
void batch_runner::saveDueTexts(batch_state& batch, instant now)
{
    if (batch.saving || batch.writesDeferred || batch.ended || now < batch.nextSave)
        return;
    const auto isOpen = [](const item_state& item) { return item.stage < item_stage::Writing && !item.generated.data.empty(); };
    const bool isDue = std::any_of(batch.items.begin(), batch.items.end(), [&](const item_state& item) {
        return isOpen(item) && item.generated.data.size() > item.eventsStored && now - item.unstoredSince >= m_settings.saveInterval;
    });
    if (!isDue)
        return;
    // One value holds all texts and replaces the last one, so it must also contain the
    // texts that the last one had.
    save_texts save { batch.spec.id, {} };
    std::size_t bytes = 0;
    for (const auto index : batch.order) {
        auto& item = batch.items[index];
        item.eventsBeingStored = 0;
        if (!isOpen(item) || (item.eventsStored == 0 && now - item.unstoredSince < m_settings.saveInterval / 2))
            continue;
        for (const auto& line : item.generated.data)
            bytes += line.size();
        if (bytes > m_settings.pageBytes)
            break;
        item.eventsBeingStored = item.generated.data.size();
        save.texts[batch.spec.items[index].id] = item.generated;
    }
    batch.nextSave = now + m_settings.saveInterval / 2;
    if (save.texts.empty())
        return;
    batch.saving = true;
    m_actions.emplace_back(std::move(save));
}

void batch_runner::textsSaved(const batch_id& id, bool written, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr)
        return;
    batch->saving = false;
    if (!written)
        return;
    for (auto& item : batch->items) {
        item.eventsStored = std::min(item.eventsBeingStored, item.generated.data.size());
        m_counts.saved += item.eventsStored > 0;
        if (item.eventsStored > 0 && item.generated.data.size() > item.eventsStored)
            item.unstoredSince = now;
    }
}

// Lists the results of the page that was written.
void batch_runner::listPage(batch_state& batch)
{
    for (const auto index : batch.pageItems) {
        auto& item = batch.items[index];
        item.stage = item_stage::Listed;
        item.generated = {};
        batch.listed.push_back(std::move(item.result));
    }
    batch.pageItems.clear();
    ++batch.pages;
}

void batch_runner::openPageFound(const batch_id& id)
{
    auto* batch = find(id);
    if (batch != nullptr && openPage(id))
        listPage(*batch);
}

std::vector<batch_action> batch_runner::pageWritten(const batch_id& id, std::uint32_t page, bool written, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || !batch->writing || page != batch->pages)
        return {};
    batch->writing = false;
    if (!written) {
        batch->nextPageWrite = now + m_settings.pageRetryDelay;
        return takeActions();
    }
    listPage(*batch);
    writeDuePage(*batch, now);
    return takeActions();
}

} // namespace lovagerail
