"""Global traffic steering across regions and availability zones."""

import os
import warnings

__version__ = "0.1.0"

# Own processes talk by IP number. eventlet's green DNS resolver would add about 8 MB per process.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# eventlet announces its deprecation at every import; docs/design.md names it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
