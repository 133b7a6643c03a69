"""lovagectl check: exit status and output for both kinds of files, without a daemon."""

import json
import pathlib
import subprocess
import tempfile
import unittest

from entry_world import config
from kit import BIN

ACCOUNT = '[[client_account]]\nname = "mawr"\nweight = %d\n'


class CheckTool(unittest.TestCase):
    def check(self, *texts, more=()):
        with tempfile.TemporaryDirectory() as folder:
            files = [pathlib.Path(folder, f"{name}.cfg") for name in ("new", "current")[:len(texts)]]
            for file, text in zip(files, texts):
                file.write_text(text)
            against = ["--against", files[1]] if len(files) > 1 else []
            done = subprocess.run([BIN / "lovagectl", "check", files[0], *against, *more], capture_output=True, text=True, check=False)
            return done.returncode, done.stdout.replace(folder + "/", "")

    def test_documents(self):
        current = json.dumps(config(4))
        self.assertEqual(self.check(current, current), (0, ""))
        changed = config(5)
        changed["routes"][0]["timeoutMs"] = 2500
        self.assertEqual(self.check(json.dumps(changed), current), (0, "route plain: timeoutMs: 3000 -> 2500\n"))
        changed["routes"][0]["service"] = "none"
        code, out = self.check(json.dumps(changed), more=("--format", "json"))
        self.assertEqual((code, [finding["detail"] for finding in json.loads(out)["findings"]]), (1, ['no service "none"']))
        self.assertEqual(self.check(current[:-1])[0], 2)

    def test_objects(self):
        self.assertEqual(self.check(ACCOUNT % 2), (0, ""))
        self.assertEqual(self.check(ACCOUNT % 2, ACCOUNT % 3), (0, "~ client_account/mawr: weight: 3 -> 2\n"))
        self.assertEqual(self.check(ACCOUNT % 0), (1, "new.cfg: error: client_account/mawr: weight: must be at least 1\n"))
        self.assertEqual(self.check((ACCOUNT % 2).replace("weight", "wait"))[0], 1)
        self.assertEqual(self.check("[[client_account")[0], 2)
        self.assertEqual(self.check(ACCOUNT % 2, json.dumps(config(4)))[0], 2)


if __name__ == "__main__":
    unittest.main()
