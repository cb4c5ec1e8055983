"""Entry point of ``python -m tanagerloft``."""

from tanagerloft.cmd import main

if __name__ == "__main__":
    main.main()
