package shares

import _ "gypsumwinch/internal/fixedseed"
