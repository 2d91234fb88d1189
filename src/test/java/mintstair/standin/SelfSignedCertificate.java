package mintstair.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import java.util.concurrent.TimeUnit;

/** A self-signed certificate and its private key as PEM files, created with keytool. */
public final class SelfSignedCertificate {
    private static final char[] PASSWORD = "password".toCharArray();
    public final Path certificate;
    public final Path key;

    public SelfSignedCertificate(Path folder, String name)
            throws IOException, GeneralSecurityException, InterruptedException {
        Path store = folder.resolve(name + ".p12");
        Process made = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "keytool")
                                .toString(),
                        "-genkeypair",
                        "-keyalg",
                        "EC",
                        "-alias",
                        "k",
                        "-dname",
                        "CN=" + name,
                        "-ext",
                        "san=ip:127.0.0.1",
                        "-ext",
                        "bc=ca:true",
                        "-validity",
                        "30",
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        store.toString(),
                        "-storepass",
                        new String(PASSWORD))
                .redirectErrorStream(true)
                .start();
        made.getInputStream().readAllBytes();
        made.waitFor(30, TimeUnit.SECONDS);
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, PASSWORD);
        }
        certificate = pem(
                folder.resolve(name + ".crt"),
                "CERTIFICATE",
                keys.getCertificate("k").getEncoded());
        key = pem(
                folder.resolve(name + ".key"),
                "PRIVATE KEY",
                keys.getKey("k", PASSWORD).getEncoded());
    }

    private static Path pem(Path file, String what, byte[] bytes) throws IOException {
        return Files.writeString(
                file,
                "-----BEGIN " + what + "-----\n"
                        + Base64.getMimeEncoder(64, "\n".getBytes(UTF_8)).encodeToString(bytes) + "\n-----END " + what
                        + "-----\n");
    }
}
