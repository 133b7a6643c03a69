"""TLS on the callers' and operators' listeners: clients that trust the certificate connect,
others and plain-text connections are refused."""

import ssl
import subprocess
import unittest
import urllib.error
import urllib.request

from fleet import Fleet
from kit import KitTest, free_ports, wait_until


class Tls(KitTest):
    def certificate(self):
        """A self-signed certificate for 127.0.0.1: (certificate, key)."""
        files = self.kit.folder / "certificate.pem", self.kit.folder / "key.pem"
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj", "/CN=127.0.0.1", "-addext",
                        "subjectAltName=IP:127.0.0.1", "-out", files[0], "-keyout", files[1]], check=True, capture_output=True)
        return files

    def test_operators_and_callers(self):
        certificate, key = self.certificate()
        fleet = Fleet(self.kit, daemons=0, engines=1, services=1, settings={"listen": {"certificate_file": certificate, "key_file": key}})
        fleet.daemon_names = ["entry-0"]
        fleet.ports["entry-0"] = free_ports(3)
        daemon = self.kit.daemon("entry-0", fleet.daemon_settings("entry-0"), wait=False)
        daemon.operators = daemon.operators.replace("http:", "https:")
        fleet.daemons["entry-0"] = daemon

        def apply_over_tls():
            return fleet.ctl("--ca", certificate, "apply", "-f", fleet.configuration_file, on="entry-0", check=False).returncode == 0

        wait_until(apply_over_tls, "apply over TLS")

        # lovagectl without the certificate authority reports the certificate error and sends nothing.
        refused = fleet.ctl("status", on="entry-0", check=False)
        self.assertEqual(refused.returncode, 3)
        self.assertIn("certificate", refused.stderr)

        # Callers get an answer over TLS, and none over plain text.
        url = daemon.callers.replace("http:", "https:") + "/open/hours"
        trusted = ssl.create_default_context(cafile=str(certificate))
        with self.assertRaises(urllib.error.HTTPError) as raised:
            urllib.request.urlopen(url.replace("/open/hours", "/nowhere"), context=trusted, timeout=5)
        self.assertEqual(raised.exception.code, 404)
        with self.assertRaises(OSError):
            urllib.request.urlopen(daemon.callers + "/open/hours", timeout=5)


if __name__ == "__main__":
    unittest.main()
