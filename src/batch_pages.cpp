// Judging of the board's texts, and pages of results; see batch_board.h.
#include "batch_board.h"

#include <algorithm>

namespace lovagerail {

namespace {

    std::string joined(const std::vector<std::string>& lines)
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

void batch_board::finishText(batch_state& batch, std::size_t index, instant now)
{
    auto& item = batch.items[index];
    item.made.whole = true;
    if (!batch.spec.items[index].judge) {
        finishItem(batch, index, true, {}, now);
        return;
    }
    item.at = phase::Judging;
    m_actions.emplace_back(judge_item { batch.spec.id, index });
}

void batch_board::finishItem(batch_state& batch, std::size_t index, bool completed, std::string score, instant now)
{
    auto& item = batch.items[index];
    item.at = phase::Finished;
    item.finishedAt = now;
    item.result.item = batch.spec.items[index].id;
    item.result.completed = completed;
    if (completed) {
        item.result.text = joined(item.made.data);
        item.result.versions = item.made.versions;
        item.result.score = std::move(score);
    }
    ++(completed ? m_counts.completed : m_counts.abandoned);

    const auto& members = batch.groups[batch.spec.items[index].group];
    const bool wholeGroup = std::all_of(members.begin(), members.end(), [&batch](std::size_t i) { return batch.items[i].at >= phase::Finished; });
    if (wholeGroup)
        groupFinished(batch, now);
}

// The step is complete for its trainer with the wanted number of groups; those before
// are of no use to it yet, so they share pages.
void batch_board::groupFinished(batch_state& batch, instant now)
{
    ++batch.wholeGroups;
    const bool enough = batch.wholeGroups >= batch.spec.wantedGroups;
    const bool nearDue = now + m_settings.gatherUntilDue >= batch.due;
    const auto due = now + (enough || nearDue ? m_settings.gather : m_settings.gatherEarly);
    batch.pageDue = batch.pageDue ? std::min(*batch.pageDue, due) : due;
}

std::vector<board_action> batch_board::judged(const batch_id& id, std::size_t index, judge_outcome outcome, const std::string& score, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || batch->ended || batch->items[index].at != phase::Judging)
        return {};
    if (outcome == judge_outcome::NotNow) {
        batch->items[index].at = phase::ToJudge;
        wait(batch->items[index], m_settings.judgePause, now);
    } else
        finishItem(*batch, index, outcome == judge_outcome::Scored, score, now);
    return take();
}

// One page at a time: a whole group is in it as soon as it is complete.
void batch_board::writeDue(batch_state& batch, instant now)
{
    if (batch.writing || batch.held || batch.ended || now < batch.writeAgain)
        return;
    if (batch.inPage.empty()) {
        // Step 1. Is anything due?
        std::vector<std::size_t> ready;
        bool old = false;
        for (const auto index : batch.order) {
            const auto& item = batch.items[index];
            if (item.at != phase::Finished)
                continue;
            ready.push_back(index);
            old = old || now - item.finishedAt >= m_settings.longestUnlisted;
        }
        if (ready.empty() || !(old || (batch.pageDue && now >= *batch.pageDue)))
            return;

        // Step 2. The results in order of finishing, as many as a page holds.
        std::sort(ready.begin(), ready.end(), [&batch](std::size_t a, std::size_t b) {
            return std::pair(batch.items[a].finishedAt, a) < std::pair(batch.items[b].finishedAt, b);
        });
        std::size_t bytes = 0;
        for (const auto index : ready) {
            bytes += batch.items[index].result.text.size();
            if (!batch.inPage.empty() && bytes > m_settings.pageBytes)
                break;
            batch.inPage.push_back(index);
            batch.items[index].at = phase::Writing;
        }
        batch.pageDue.reset();
        if (batch.inPage.size() < ready.size())
            batch.pageDue = now;
    }

    // Step 3. A page whose writing failed is written again as it was.
    write_page page { batch.spec.id, batch.pages, {} };
    for (const auto index : batch.inPage)
        page.results.push_back(batch.items[index].result);
    batch.writing = true;
    m_actions.emplace_back(std::move(page));
}

// Long texts are stored while they are made: whoever takes the batch over goes on behind
// them. Those of short items are made again at least cost.
void batch_board::saveDue(batch_state& batch, instant now)
{
    if (batch.saving || batch.held || batch.ended || now < batch.saveAgain)
        return;
    const auto isOpen = [](const item_state& item) { return item.at < phase::Writing && !item.made.data.empty(); };
    const bool due = std::any_of(batch.items.begin(), batch.items.end(), [&](const item_state& item) {
        return isOpen(item) && item.made.data.size() > item.stored && now - item.unstoredSince >= m_settings.saveAfter;
    });
    if (!due)
        return;
    // One value holds all of them, those that stood in the last one included.
    save_texts save { batch.spec.id, {} };
    std::size_t bytes = 0;
    for (const auto index : batch.order) {
        auto& item = batch.items[index];
        item.storing = 0;
        if (!isOpen(item) || (item.stored == 0 && now - item.unstoredSince < m_settings.saveAfter / 2))
            continue;
        for (const auto& line : item.made.data)
            bytes += line.size();
        if (bytes > m_settings.pageBytes)
            break;
        item.storing = item.made.data.size();
        save.texts[batch.spec.items[index].id] = item.made;
    }
    batch.saveAgain = now + m_settings.saveAfter / 2;
    if (save.texts.empty())
        return;
    batch.saving = true;
    m_actions.emplace_back(std::move(save));
}

void batch_board::textsSaved(const batch_id& id, bool written, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr)
        return;
    batch->saving = false;
    if (!written)
        return;
    for (auto& item : batch->items) {
        item.stored = std::min(item.storing, item.made.data.size());
        m_counts.saved += item.stored > 0;
        if (item.stored > 0 && item.made.data.size() > item.stored)
            item.unstoredSince = now;
    }
}

std::vector<board_action> batch_board::pageWritten(const batch_id& id, std::uint32_t page, bool written, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || !batch->writing || page != batch->pages)
        return {};
    batch->writing = false;
    if (!written) {
        batch->writeAgain = now + m_settings.pageRetry;
        return take();
    }
    for (const auto index : batch->inPage) {
        auto& item = batch->items[index];
        item.at = phase::Listed;
        item.made = {};
        batch->listed.push_back(std::move(item.result));
    }
    batch->inPage.clear();
    ++batch->pages;
    writeDue(*batch, now);
    return take();
}

} // namespace lovagerail
