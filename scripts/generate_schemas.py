"""Write the JSON Schemas as a Python module, so that the executable contains them."""

import json
import pathlib
import pprint
import sys

NAMES = ("entry", "settings", "vm")


def main(output: str) -> None:
    """Write the module at ``output``."""
    schema_dir = pathlib.Path(__file__).parent.parent / "schema"
    lines = ['"""JSON Schemas, generated from schema/ by scripts/generate."""\n']
    for name in NAMES:
        schema = json.loads((schema_dir / f"{name}.schema.json").read_text())
        lines.append(f"{name.upper()}_SCHEMA = {pprint.pformat(schema, width=88)}\n")
    pathlib.Path(output).write_text("\n".join(lines))


if __name__ == "__main__":
    main(sys.argv[1])
