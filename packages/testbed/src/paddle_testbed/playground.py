"""Start a local system and keep it running until interrupted.

Fakes of two model engines, a booking service and the platform run in this
process; three daemons run as processes of their own. The replicas are not
formed, and nothing is configured.
"""

import pathlib
import signal
import sys
import tempfile

from absl import app
from absl import flags
import gevent
import gevent.event
import gevent.signal

from paddle_testbed import cluster
from paddle_testbed import fakes

FLAGS = flags.FLAGS
flags.DEFINE_string('folder', None, 'Folder for settings, logs and data.')
flags.DEFINE_integer('minutes', 60, 'Stop after this time, in minutes.')

DOMAINS = ('domain-a', 'domain-b', 'domain-c')
SECONDS_PER_MINUTE = 60

TEXT = """
The system is running. In another terminal:

  export CTL="{bin}/rosemarypaddlectl --ctl_settings={ctl}"
  $CTL replica form {peers}

Addresses for callers: {listen}
Logs, settings and data: {folder}
Stop it with Ctrl-C.
"""


def start_fakes():
    """Start the fakes and return the platform."""
    platform = fakes.FakePlatform().start()
    for index in range(2):
        engine = fakes.FakeEngine(fakes.EngineOptions(seed=index)).start()
        platform.add(
            f'engine-{index}',
            engine.address,
            models=['small'],
            failure_domain=DOMAINS[index],
        )
    service = fakes.FakeService().start()
    platform.add('desk-0', service.address, kind='service', service='desk')
    return platform


def run(folder):
    """Run daemons in ``folder`` until a signal or the time limit."""
    system = cluster.Cluster(
        folder, start_fakes().address, daemons=3, disks=3, domains=DOMAINS
    )
    system.write_settings()
    stopped = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal.signal(number, lambda *_: stopped.set())
    try:
        system.start_all()
        print(
            TEXT.format(
                bin=pathlib.Path(sys.executable).parent,
                ctl=system.ctl_path,
                peers=','.join(spec.peer for spec in system.specs),
                listen=' '.join(spec.listen for spec in system.specs),
                folder=folder,
            ),
            flush=True,
        )
        stopped.wait(FLAGS.minutes * SECONDS_PER_MINUTE)
        for spec in system.specs:
            system.stop(spec)
    finally:
        system.close()


def main(argv):
    """Run in ``--folder``, or in a temporary folder."""
    if FLAGS.folder:
        pathlib.Path(FLAGS.folder).mkdir(parents=True, exist_ok=True)
        run(FLAGS.folder)
        return
    with tempfile.TemporaryDirectory(prefix='paddle-playground-') as folder:
        run(folder)


if __name__ == '__main__':
    app.run(main)
