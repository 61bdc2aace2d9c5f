"""A network path to one daemon's peer port: relays TCP and UDP with a delay.

Usage: relay.py IP PORT TARGET_PORT DELAY_MS TELL_PORT

It listens on IP:PORT, sends to IP:TARGET_PORT, and delays each direction by
DELAY_MS. It tells TELL_PORT on 127.0.0.1 by a datagram when the daemon sends a
length-prefixed frame of TELL_BYTES or more on TCP, as it gets it; nothing is held,
changed or left out.
"""

import asyncio
import socket
import sys

TELL_BYTES = 40000  # parts of answers to callers are smaller
PREFIX = 4


class Path:
    def __init__(self, ip, target_port, delay_ms, tell_port):
        self.target = (ip, target_port)
        self.delay_s = delay_ms / 1000
        self.tell_to = ("127.0.0.1", tell_port)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def pump(self, writer, read):
        """Writes each part delay_s after it was read."""
        loop = asyncio.get_running_loop()
        parts = asyncio.Queue(maxsize=256)

        async def fill():
            while True:
                try:
                    part = await read()
                except OSError:
                    part = b""
                await parts.put((loop.time() + self.delay_s, part))
                if not part:
                    return

        task = asyncio.create_task(fill())
        try:
            while True:
                at, part = await parts.get()
                if at > loop.time():
                    await asyncio.sleep(at - loop.time())
                if not part:
                    break
                writer.write(part)
                await writer.drain()
        except OSError:
            pass
        finally:
            task.cancel()
            writer.close()

    async def read_frame(self, reader):
        try:
            prefix = await reader.readexactly(PREFIX)
            size = int.from_bytes(prefix, "big")
            frame = prefix + await reader.readexactly(size)
        except asyncio.IncompleteReadError:
            return b""
        if size >= TELL_BYTES:
            self.socket.sendto(b"%d" % size, self.tell_to)
        return frame

    async def serve(self, reader, writer):
        try:
            onward_reader, onward_writer = await asyncio.open_connection(
                *self.target, limit=1 << 22)
        except OSError:
            writer.close()
            return
        for each in (writer, onward_writer):
            each.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(
            self.pump(onward_writer, lambda: reader.read(65536)),
            self.pump(writer, lambda: self.read_frame(onward_reader)))


class Session(asyncio.DatagramProtocol):
    """The way back to one sender of datagrams."""

    def __init__(self, front, sender):
        self.front = front
        self.sender = sender

    def datagram_received(self, data, _):
        self.front.later(self.front.transport.sendto, data, self.sender)


class Front(asyncio.DatagramProtocol):
    def __init__(self, target, delay_s):
        self.target = target
        self.delay_s = delay_s
        self.sessions = {}

    def connection_made(self, transport):
        self.transport = transport

    def later(self, send, *args):
        asyncio.get_running_loop().call_later(self.delay_s, send, *args)

    def datagram_received(self, data, sender):
        asyncio.get_running_loop().create_task(self.forward(data, sender))

    async def forward(self, data, sender):
        if sender not in self.sessions:
            self.sessions[sender] = asyncio.create_task(
                asyncio.get_running_loop().create_datagram_endpoint(
                    lambda: Session(self, sender), remote_addr=self.target))
        transport, _ = await self.sessions[sender]
        self.later(transport.sendto, data)


async def main(ip, port, target_port, delay_ms, tell_port):
    path = Path(ip, target_port, delay_ms, tell_port)
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Front(path.target, path.delay_s), local_addr=(ip, port))
    server = await asyncio.start_server(path.serve, ip, port)
    print("ready", flush=True)
    await server.serve_forever()


asyncio.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]),
                 float(sys.argv[4]), int(sys.argv[5])))
