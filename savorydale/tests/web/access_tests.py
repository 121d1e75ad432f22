from savorydale.web.access import Authenticator


def test_without_a_shared_key_only_loopback_is_allowed():
    authenticator = Authenticator(None)
    assert authenticator.is_allowed("127.0.0.1", None)
    assert authenticator.is_allowed("::1", None)
    assert not authenticator.is_allowed("10.0.0.5", None)
    assert not authenticator.is_allowed("", None)


def test_with_a_shared_key_every_request_must_present_it():
    authenticator = Authenticator("0123456789abcdef")
    assert authenticator.is_allowed("10.0.0.5", "0123456789abcdef")
    assert not authenticator.is_allowed("10.0.0.5", "0123456789abcdeF")
    assert not authenticator.is_allowed("127.0.0.1", None)
