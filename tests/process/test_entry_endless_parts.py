"""Bytes without end from a faulty replica, in chunk sizes and trailers and behind a whole answer."""

import unittest

from endless_case import PIECE, EndlessCase


class EntryEndlessParts(EndlessCase):
    def test_a_chunk_size_without_end(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 65536)

    def test_a_chunk_extension_without_end(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n5;more=", PIECE)

    def test_trailers_without_end(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n1\r\np\r\n0\r\n", b"X-More: " + b"x" * 1000 + b"\r\n")

    def test_a_trailer_without_end(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n1\r\np\r\n0\r\nX-More: ")

    def test_bytes_without_end_behind_a_whole_answer(self):
        self.check("shop", "/plain/x", b"Content-Length: 1\r\n\r\np", is_whole=True)

    def test_bytes_without_end_behind_the_last_chunk(self):
        self.check("shop", "/plain/x", b"Transfer-Encoding: chunked\r\n\r\n1\r\np\r\n0\r\n\r\n", is_whole=True)


if __name__ == "__main__":
    unittest.main(verbosity=2)
