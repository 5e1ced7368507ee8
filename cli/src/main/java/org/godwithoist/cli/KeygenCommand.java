package org.godwithoist.cli;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Set;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.core.id.OperatorName;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Generates the key pair and token of an operator. */
public final class KeygenCommand extends Command {
    private static final int TOKEN_BYTES = 32;

    @Argument(required = true, metaVar = "NAME", usage = "name of the operator")
    private String name;

    @Option(
            name = "--out",
            metaVar = "DIRECTORY",
            usage = "directory of the files; default: the current directory")
    private String directory = ".";

    @Option(name = "--json", usage = "prints the settings entry as JSON only")
    private boolean json;

    @Override
    boolean isJson() {
        return json;
    }

    @Override
    String description() {
        return "godwithoist keygen NAME: writes NAME.key and NAME.token, which only their owner can"
                + " read, and prints the entry for the daemons' settings.";
    }

    @Override
    ExitCode run(Console console) {
        OperatorName operator = operator();
        KeyPair keyPair = generateKeyPair();
        byte[] randomBytes = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(randomBytes);
        String token = Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes);
        Path keyFile = Path.of(directory, operator + ".key");
        Path tokenFile = Path.of(directory, operator + ".token");
        write(keyFile, Base64.getEncoder().encodeToString(keyPair.getPrivate().getEncoded()));
        write(tokenFile, token);
        JsonObject entry =
                new JsonObject()
                        .put("name", operator.value())
                        .put(
                                "tokenHash",
                                ContentHash.of(token.getBytes(StandardCharsets.UTF_8)).hex())
                        .put(
                                "publicKey",
                                Base64.getEncoder()
                                        .encodeToString(keyPair.getPublic().getEncoded()));
        if (!json) {
            console.out().println("wrote " + keyFile + " and " + tokenFile);
            console.out().println("entry for \"operators\" in the settings of every daemon:");
        }
        console.out().println(entry.encode());
        return ExitCode.OK;
    }

    private OperatorName operator() {
        try {
            return new OperatorName(name);
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage(), e);
        }
    }

    private static KeyPair generateKeyPair() {
        try {
            return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime cannot generate Ed25519 keys", e);
        }
    }

    private static void write(Path file, String secret) {
        var ownerOnly =
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));
        var options = Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        // Set the permissions at creation, so that no other user can open the file before.
        try (var channel = Files.newByteChannel(file, options, ownerOnly)) {
            var bytes = ByteBuffer.wrap((secret + "\n").getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (FileAlreadyExistsException e) {
            throw new CliException(
                    ExitCode.FAILED, file + " already exists and is not overwritten", e);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot write the file " + file, e);
        }
    }
}
