"""Lets ``python -m cardamommill`` run the command line."""

from cardamommill import cmdline

if __name__ == "__main__":
    cmdline.main()
