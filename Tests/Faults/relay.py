"""A relay for TCP connections between the processes under test, which cuts, holds or silences them."""

import asyncio
import threading


class Link:
    """One direction between two hosts: connections that one opens to the other."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.refusing = False
        self.silent = False


class Relay:
    """Runs all links in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links = {}

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def add(self, name, listen, target):
        link = Link(listen, target)
        self.links[name] = link

        async def start():
            link.server = await asyncio.start_server(lambda r, w: self.serve(link, r, w), *listen, limit=1 << 20)

        self.call(start())

    async def serve(self, link, reader, writer):
        if link.refusing:
            writer.transport.abort()
            return
        state = {"silent": link.silent, "writers": [writer]}
        link.__dict__.setdefault("states", {})[id(state)] = state
        try:
            other_reader, other_writer = await asyncio.open_connection(*link.target, limit=1 << 20)
        except OSError:
            writer.transport.abort()
            return
        state["writers"].append(other_writer)
        await asyncio.gather(self.copy(state, reader, other_writer), self.copy(state, other_reader, writer))
        link.states.pop(id(state), None)

    async def copy(self, state, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                # A silent connection stays open, and nothing comes through it any more.
                if not state["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if not state["silent"]:
                writer.close()

    async def change(self, names, refusing, silence_new, silence_open, abort_open):
        for name in names:
            link = self.links[name]
            link.refusing = refusing
            link.silent = silence_new
            for state in list(link.__dict__.get("states", {}).values()):
                if silence_open:
                    state["silent"] = True
                if abort_open:
                    for writer in state["writers"]:
                        writer.transport.abort()

    def close(self):
        async def close_all():
            for link in self.links.values():
                link.server.close()
                for state in list(link.__dict__.get("states", {}).values()):
                    for writer in state["writers"]:
                        writer.transport.abort()

        self.call(close_all())
        self.loop.call_soon_threadsafe(self.loop.stop)

    def cut(self, names):
        """Closes the connections and refuses new ones."""
        self.call(self.change(names, True, False, False, True))

    def silence(self, names):
        """A silent partition: open and new connections stay up, and nothing comes through."""
        self.call(self.change(names, False, True, True, False))

    def silence_open_connections(self, names):
        """What is open falls silent for good; new connections work."""
        self.call(self.change(names, False, False, True, False))

    def heal(self, names):
        self.call(self.change(names, False, False, False, True))
