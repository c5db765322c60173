"""Files that come with a request for generated text."""

from __future__ import annotations

import attrs


@attrs.frozen
class Attachment:
    """A file that the model sees along with the prompt.

    Attributes
    ----------
    kind : str
        What it is to the model, as the caller names it; ``photo``.
    media_type : str
        Media type (RFC 6838) of the file.
    reference : str
        Where the engine finds it; empty when ``data`` holds it.
    data : str
        The file in base64 (RFC 4648); empty when it is referred to.
    """

    kind: str
    media_type: str
    reference: str = ''
    data: str = ''
