"""Sending on gevent sockets."""


def send_all(sock, data):
    """Send all of ``data`` (bytes) on ``sock``, a gevent socket.

    Events of a stream are small and nearly always fit into the socket's send
    buffer. One ``send`` call then suffices, whereas gevent's ``sendall`` first
    queries the size of the buffer from the kernel.

    :raises OSError: if the peer closed the connection or the send times out.
    """
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])
