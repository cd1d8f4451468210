"""Starts a gateway from a checkout, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "src"))

from carobspur.platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()
