"""Sending on gevent's sockets."""


def send_whole(sock, data):
    """Send all of ``data`` (bytes) on ``sock``, a socket of gevent.

    Events of a stream are small and nearly always fit into the socket's
    buffer. One ``send`` then suffices, where gevent's ``sendall`` first asks
    the kernel for the size of the buffer.

    :raises OSError: if the other side is gone or the socket's timeout ends.
    """
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])
