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
        : m_budget(limits)
    {
    }

    bool claim(memory_use use, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        return m_budget.claim(use, byte_count(bytes));
    }
    void charge(memory_use use, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_budget.charge(use, byte_count(bytes));
    }
    void release(memory_use use, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_budget.release(use, byte_count(bytes));
    }
    bool mayEverFit(memory_use use, std::size_t bytes) const { return m_budget.mayEverFit(use, byte_count(bytes)); }
    memory_budget snapshot() const
    {
        const std::lock_guard lock(m_mutex);
        return m_budget;
    }

private:
    mutable std::mutex m_mutex;
    memory_budget m_budget; // its limits are constant
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
