"""A TCP proxy before the store, one for each instance: passes bytes on, or goes silent for that instance alone."""

import socket
import threading
import time


class Proxy:
    def __init__(self, ip, port, target):
        self.address = f"{ip}:{port}"
        self._target = target
        self.silent = False
        self.on_request = None  # called with the bytes that the instance sent, as they pass
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, port))
        self._listener.listen(256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        if self.silent:  # no response, also later: its call is lost
            self._swallow(client)
            return
        host, port = self._target.rsplit(":", 1)
        upstream = socket.create_connection((host, int(port)))
        for one in (client, upstream):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        state = {"dead": False}
        threading.Thread(target=self._pump, args=(upstream, client, state, False), daemon=True).start()
        self._pump(client, upstream, state, True)

    def _swallow(self, client):
        try:
            while client.recv(65536):
                pass
        except OSError:
            pass
        client.close()

    def _pump(self, source, sink, state, is_request):
        try:
            while data := source.recv(65536):
                if self.silent:
                    state["dead"] = True  # "a channel on which a response is lost returns nothing further"
                if state["dead"]:
                    continue
                if is_request and self.on_request is not None:
                    self.on_request(data)
                sink.sendall(data)
        except OSError:
            pass
        if not state["dead"] or is_request:
            for one in (source, sink):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                one.close()
