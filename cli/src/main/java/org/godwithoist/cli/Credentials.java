package org.godwithoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Reads the operator's secrets from files or environment variables; messages never contain them.
 */
final class Credentials {
    private static final Pattern TOKEN = Pattern.compile("[!-~]+");

    private Credentials() {}

    /** Returns the bearer token, which is validated as a header value. */
    static String token(Console console, String file) {
        String token = readSecret(console, file, "GODWITHOIST_TOKEN", "--token-file");
        // The HTTP client quotes an invalid header in its exception, so the token is checked first.
        if (!TOKEN.matcher(token).matches()) {
            throw new CliException(
                    ExitCode.DENIED,
                    "the operator's token must be one line of printable ASCII without spaces");
        }
        return token;
    }

    /** Returns the private key that signs bundles. */
    static PrivateKey key(Console console, String file) {
        String base64 = readSecret(console, file, "GODWITHOIST_KEY", "--key-file");
        try {
            byte[] encoded = Base64.getDecoder().decode(base64);
            return KeyFactory.getInstance("Ed25519")
                    .generatePrivate(new PKCS8EncodedKeySpec(encoded));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            // The cause is omitted, because it may contain the key.
            throw new CliException(
                    ExitCode.DENIED,
                    "the private key must be an Ed25519 key in PKCS #8 format, encoded in Base64");
        }
    }

    private static String readSecret(Console console, String file, String variable, String option) {
        Optional<String> path = console.setting(file, variable + "_FILE");
        if (path.isPresent()) {
            return read(path.get()).strip();
        }
        return console.setting(null, variable)
                .map(String::strip)
                .orElseThrow(
                        () ->
                                new CliException(
                                        ExitCode.DENIED,
                                        "credential is missing: pass "
                                                + option
                                                + " or set "
                                                + variable
                                                + "_FILE or "
                                                + variable));
    }

    /** Reads a text file; fails with {@link ExitCode#FAILED} if it cannot be read. */
    static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read the file " + file, e);
        }
    }
}
