// Memory that requests and answers hold, charged to a budget (memory_budget.h) that the threads of
// a process share. A claim releases what it has charged when it ends, so that a charge moves with
// what it stands for.
#pragma once

#include "memory_budget.h"

#include <memory>
#include <mutex>
#include <utility>

namespace lovagerail::http {

class memory_account {
public:
    explicit memory_account(const memory_limits& limits)
        : m_shared(std::make_shared<shared_budget>(limits))
    {
    }

    // An account on the same budget for listeners that clients don't reach: what is ordinary there is Own.
    std::shared_ptr<memory_account> forOwnCalls() const
    {
        auto out = std::make_shared<memory_account>(*this);
        out->m_isForOwnCalls = true;
        return out;
    }

    bool claim(memory_use use, std::size_t bytes)
    {
        const std::lock_guard lock(m_shared->mutex);
        return m_shared->budget.claim(chargedAs(use), byte_count(bytes));
    }
    void charge(memory_use use, std::size_t bytes)
    {
        const std::lock_guard lock(m_shared->mutex);
        m_shared->budget.charge(chargedAs(use), byte_count(bytes));
    }
    void release(memory_use use, std::size_t bytes)
    {
        const std::lock_guard lock(m_shared->mutex);
        m_shared->budget.release(chargedAs(use), byte_count(bytes));
    }
    bool mayEverFit(memory_use use, std::size_t bytes) const { return m_shared->budget.mayEverFit(chargedAs(use), byte_count(bytes)); }
    memory_budget snapshot() const
    {
        const std::lock_guard lock(m_shared->mutex);
        return m_shared->budget;
    }

private:
    struct shared_budget {
        explicit shared_budget(const memory_limits& limits)
            : budget(limits)
        {
        }

        std::mutex mutex;
        memory_budget budget; // its limits are constant
    };

    memory_use chargedAs(memory_use use) const
    {
        const bool isOrdinary = use == memory_use::Connection || use == memory_use::Ordinary;
        return m_isForOwnCalls && isOrdinary ? memory_use::Own : use;
    }

    std::shared_ptr<shared_budget> m_shared;
    bool m_isForOwnCalls = false;
};

// Null: nothing is charged.
using memory_account_ptr = std::shared_ptr<memory_account>;

class memory_claim {
public:
    memory_claim() = default;
    explicit memory_claim(memory_account_ptr account)
        : m_account(std::move(account))
    {
    }
    memory_claim(memory_claim&& other) noexcept { swap(other); }
    memory_claim& operator=(memory_claim&& other) noexcept
    {
        memory_claim(std::move(other)).swap(*this);
        return *this;
    }
    memory_claim(const memory_claim&) = delete;
    memory_claim& operator=(const memory_claim&) = delete;
    ~memory_claim() { reset(); }

    // Replaces the charge by this one; false if it does not fit, and the charge is what it was.
    bool resize(memory_use use, std::size_t bytes);
    // The same for what can't be refused.
    void force(memory_use use, std::size_t bytes);
    void reset();
    std::size_t bytes() const { return m_bytes; }
    const memory_account_ptr& account() const { return m_account; }

private:
    void swap(memory_claim& other) noexcept
    {
        std::swap(m_account, other.m_account);
        std::swap(m_use, other.m_use);
        std::swap(m_bytes, other.m_bytes);
    }

    memory_account_ptr m_account;
    memory_use m_use = memory_use::Ordinary;
    std::size_t m_bytes = 0; // charged
};

} // namespace lovagerail::http
