"""Runs the script of a case: its record, its limits and its exit code."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback
from pathlib import Path

from standin import BINARY, log_line

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115


class NotRun(Exception):
    """The case couldn't run, for example because the deployment didn't start."""


def run(file, main):
    """Calls `main(folder, record, trouble)`, which returns a list of what broke the rule, and exits."""
    folder = Path(tempfile.mkdtemp(prefix="review-2-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    with open(Path(file).resolve().parent / "record.txt", "w") as record:
        log_line(record, "case", trouble=trouble)
        worlds = []

        async def limited():
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            return await asyncio.wait_for(main(folder, record, trouble, worlds), LIMIT_S)

        try:
            if not BINARY.is_file():
                raise NotRun(f"{BINARY.name} isn't built")
            broken = asyncio.run(limited())
            for line in broken[:20]:
                log_line(record, "broken", what=line)
                print("broken:", line)
            code = BROKEN if broken else HELD
        except (NotRun, asyncio.TimeoutError, OSError) as error:
            log_line(record, "not_run", cause=repr(error))
            print("not run:", repr(error))
        except Exception:
            log_line(record, "not_run", cause=traceback.format_exc())
            traceback.print_exc()
        finally:
            for world in worlds:
                world.kill()
            log_line(record, "exit", code=code)
    if code != NOT_RUN:
        shutil.rmtree(folder, ignore_errors=True)
    print("exit", code)
    sys.stdout.flush()
    os._exit(code)
