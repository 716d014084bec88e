"""A TCP relay between the processes under test that injects network faults: refused, reset and silent connections."""

import asyncio
import threading


class Link:
    """The connections that one host opens to another. Connections in the opposite direction belong to a link of their own."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.refusing = False
        self.silent = False


class Relay:
    """Forwards the connections of all links, on an event loop in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links = {}

    def run_on_loop(self, coroutine):
        """Runs a coroutine on the event loop and waits up to 10 s for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def add_link(self, name, listen, target):
        link = Link(listen, target)
        self.links[name] = link

        async def start():
            link.server = await asyncio.start_server(lambda reader, writer: self.handle_connection(link, reader, writer), *listen, limit=1 << 20)

        self.run_on_loop(start())

    async def handle_connection(self, link, reader, writer):
        if link.refusing:
            writer.transport.abort()
            return
        connection = {"silent": link.silent, "writers": [writer]}
        link.__dict__.setdefault("states", {})[id(connection)] = connection
        try:
            target_reader, target_writer = await asyncio.open_connection(*link.target, limit=1 << 20)
        except OSError:
            writer.transport.abort()
            return
        connection["writers"].append(target_writer)
        await asyncio.gather(self.forward(connection, reader, target_writer), self.forward(connection, target_reader, writer))
        link.states.pop(id(connection), None)

    async def forward(self, connection, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                # A silent connection stays open, but its data is read and discarded.
                if not connection["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if not connection["silent"]:
                writer.close()

    async def set_link_state(self, names, refusing, silence_new, silence_open, abort_open):
        for name in names:
            link = self.links[name]
            link.refusing = refusing
            link.silent = silence_new
            for connection in list(link.__dict__.get("states", {}).values()):
                if silence_open:
                    connection["silent"] = True
                if abort_open:
                    for writer in connection["writers"]:
                        writer.transport.abort()

    def close(self):
        async def close_all():
            for link in self.links.values():
                link.server.close()
                for connection in list(link.__dict__.get("states", {}).values()):
                    for writer in connection["writers"]:
                        writer.transport.abort()

        self.run_on_loop(close_all())
        self.loop.call_soon_threadsafe(self.loop.stop)

    def disconnect(self, names):
        """Aborts open connections, and new ones as soon as they are accepted."""
        self.run_on_loop(self.set_link_state(names, True, False, False, True))

    def silence(self, names):
        """Makes open and new connections silent: they stay open, but deliver no data."""
        self.run_on_loop(self.set_link_state(names, False, True, True, False))

    def silence_open_connections(self, names):
        """Makes open connections silent permanently; new connections work normally."""
        self.run_on_loop(self.set_link_state(names, False, False, True, False))

    def heal(self, names):
        """Aborts open connections, and lets new ones work normally."""
        self.run_on_loop(self.set_link_state(names, False, False, False, True))
