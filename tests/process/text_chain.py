"""Reads generated text against the chain of its prompt, as docs/STANDINS.md states it.

A second implementation of the check, apart from the one in standins/, so that the
checker shares no code with what it checks. xxHash by its published definition.
"""

import re
import struct

MASK32 = 0xFFFFFFFF
MASK64 = 0xFFFFFFFFFFFFFFFF
P32 = (0x9E3779B1, 0x85EBCA77, 0xC2B2AE3D, 0x27D4EB2F, 0x165667B1)
P64 = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0x85EBCA77C2B2AE63, 0x27D4EB2F165667C5)
TOKEN = re.compile(r" (\d+)/(\d+)\.([0-9a-f]{8})")


def _rotate64(value, bits):
    return ((value << bits) | (value >> (64 - bits))) & MASK64


def _rotate32(value, bits):
    return ((value << bits) | (value >> (32 - bits))) & MASK32


def _round64(state, lane):
    return _rotate64((state + lane * P64[1]) & MASK64, 31) * P64[0] & MASK64


def xxh64(data):
    """xxHash64 with seed 0."""
    at = 0
    if len(data) >= 32:
        lanes = [(P64[0] + P64[1]) & MASK64, P64[1], 0, -P64[0] & MASK64]
        while at + 32 <= len(data):
            lanes = [_round64(lane, word) for lane, word in zip(lanes, struct.unpack_from("<4Q", data, at))]
            at += 32
        value = sum(_rotate64(lane, bits) for lane, bits in zip(lanes, (1, 7, 12, 18))) & MASK64
        for lane in lanes:
            value = ((value ^ _round64(0, lane)) * P64[0] + P64[3]) & MASK64
    else:
        value = P64[4]
    value = (value + len(data)) & MASK64
    while at + 8 <= len(data):
        value ^= _round64(0, struct.unpack_from("<Q", data, at)[0])
        value = (_rotate64(value, 27) * P64[0] + P64[3]) & MASK64
        at += 8
    if at + 4 <= len(data):
        value ^= struct.unpack_from("<I", data, at)[0] * P64[0] & MASK64
        value = (_rotate64(value, 23) * P64[1] + P64[2]) & MASK64
        at += 4
    for byte in data[at:]:
        value ^= byte * P64[4] & MASK64
        value = _rotate64(value, 11) * P64[0] & MASK64
    value = (value ^ (value >> 33)) * P64[1] & MASK64
    value = (value ^ (value >> 29)) * P64[2] & MASK64
    return value ^ (value >> 32)


def _next_hash(last, index):
    """xxHash32 with seed 0 of the two numbers."""
    value = (P32[4] + 8) & MASK32
    for lane in (last, index):
        value = _rotate32((value + lane * P32[2]) & MASK32, 17) * P32[3] & MASK32
    value = (value ^ (value >> 15)) * P32[1] & MASK32
    value = (value ^ (value >> 13)) * P32[2] & MASK32
    return value ^ (value >> 16)


def read(prompt, text):
    """(number of tokens, natural length, fault or None) of a text generated for the prompt."""
    last = xxh64(prompt.encode()) & MASK32
    at = count = length = 0
    while at < len(text):
        token = TOKEN.match(text, at)
        if not token:
            return count, length, f"foreign text at byte {at}: {text[at:at + 30]!r}"
        index, length = int(token[1]), int(token[2])
        if index != count:
            return count, length, f"token {index} where {count} was due"
        last = _next_hash(last, index)
        if int(token[3], 16) != last:
            return count, length, f"token {index} was made for another prompt"
        count += 1
        at = token.end()
    return count, length, None
