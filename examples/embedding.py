"""Run a job at most once among several workers, without the router."""

import sys
import tempfile

import paddle_coord as coord
import paddle_kernel as kernel


def start_replica(folder, clock):
    """Start a replica on a free loopback port."""
    replica = coord.Replica.open(folder, 'replica', clock)
    return kernel.TcpServer('127.0.0.1:0', replica.handle).start()


def run_once(register, clock, worker, job):
    """Run ``job`` unless another worker has claimed it."""
    claims = coord.ClaimBook(register, clock, worker)
    result = claims.claim('jobs', job, 'v1', clock.now_ms() + 5_000)
    if result.claim is None or not claims.may_send(result.claim):
        return f'{worker}: {job} is {result.outcome}'
    answer = coord.Answer.from_response(200, (), b'printed')
    claims.complete(result.claim, answer).unwrap()
    return f'{worker}: ran {job}'


def main(folder):
    clock = kernel.SystemClock()
    servers = [start_replica(f'{folder}/{i}', clock) for i in range(3)]
    addresses = [server.address for server in servers]
    transport = kernel.TcpTransport()
    coord.ReplicaAdmin(transport, clock).form(addresses).unwrap()
    for worker in ('first', 'second'):
        register = coord.Proposer(transport, addresses, clock, worker)
        print(run_once(register, clock, worker, 'invoice-7'))


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as path:
        sys.exit(main(path))
