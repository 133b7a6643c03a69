// Data types of batches, their keys in the key-value store and their encoding.
//
// A batch is a set of generations that a trainer submits at once. Each result gets a
// position in the batch's result list that never changes. A batch has one owner, the
// instance that runs its items. The store holds its head, its submission, pages of results
// and texts of unfinished items.
#pragma once

#include "kv.h"
#include "regions.h"
#include "site.h"
#include "types.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerail {

using batch_id = name_id<struct batch_tag>;
constexpr std::size_t maxBatchIdBytes = 128; // keys of the store, which hold it, have 200 at most
using item_id = name_id<struct item_tag>;

// A part of a prompt, in order; requests that begin with the same parts share a prefix.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

// The request that scores a finished text; the proof in its answer is stored as the score.
struct judge_call {
    request_id id;
    std::string host;
    std::string path;
    std::string body;
};

struct batch_item {
    item_id id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string group;
    std::optional<judge_call> judge;
    std::vector<prompt_part> prompt;
    token_count promptTokens;
    token_count expectedTokens; // to generate: the caller's estimate, else the maximum allowed
};

struct batch_spec {
    batch_id id;
    std::string host;
    std::string path; // of the submission request; host and path select the route
    client_account_id account;
    std::uint64_t step = 0;
    model_id model;
    weight_version minVersion; // oldest weights that may generate a token of this batch
    std::uint32_t requiredGroups = 0; // the trainer ends the batch once it has read so many complete groups
    wall_time submitted {};
    std::vector<batch_item> items;
};

struct batch_result {
    item_id item;
    bool completed = false; // false: the item was abandoned
    std::string text;
    std::vector<weight_version> versions; // that generated the text, in order of first use
    std::string score;
};

// What the configuration said of a batch when it was accepted. It travels with the batch, as routes change and go away.
struct batch_route {
    site_route route; // with the priority and the regions that hold for the batch's account
    double tokensPerEvent = 1; // of its first service's streams; above 0
};

// The owner of a batch and whether it was ended. It is rewritten whenever either changes.
// Writes of results compare its revision in the store, so a former owner can't write any.
struct batch_head {
    batch_id id;
    instance_id owner;
    incarnation ownerIncarnation;
    std::string host;
    std::string path;
    client_account_id account;
    wall_time submitted {};
    std::uint32_t items = 0; // number of items
    bool ended = false;
    region_id originRegion {}; // of the instance that its caller connected to; empty if not known
    std::optional<batch_route> decided {}; // empty in heads of older versions
};

// Keys in the store. Pages of results are numbered from 0 without gaps.
std::string headKey(const batch_id& id);
std::string submissionKey(const batch_id& id);
std::string pagesPrefix(const batch_id& id);
std::string pageKey(const batch_id& id, std::uint32_t page);
// Key of the saved partial texts of items without a result. It sorts after the pages and
// has their prefix, so that one range read returns all that a new owner needs.
std::string textsKey(const batch_id& id);
// Whether a key with the prefix of the batch's pages is one of its pages or its texts, and not of a batch whose id
// begins with this one's.
bool isPageOrTexts(const batch_id& id, std::string_view key);
constexpr std::string_view headPrefix = "batch/head/";

std::string encodeHead(const batch_head& head);
std::optional<batch_head> decodeHead(const batch_id& id, std::string_view text);
// Whether the entry that made a create-only write of head `ours` fail was created by an
// earlier attempt of the same write whose answer was lost. False for a head rewritten
// since: another instance may have owned the batch, and results may have been stored.
bool isOwnCreation(const kv_entry& entry, const batch_head& ours);
std::string encodeBatchPage(const std::vector<batch_result>& results);
std::optional<std::vector<batch_result>> decodeBatchPage(std::string_view text);

} // namespace lovagerail
