//! TLS of the front. Certificate and key are reloaded from their files without closing connections.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use tokio_rustls::TlsAcceptor;

/// The PEM files named by the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// The certificate authorities of client certificates; `None` if clients are not asked for certificates.
    pub client_ca: Option<PathBuf>,
}

/// The TLS configuration of new connections.
pub struct Tls {
    files: TlsFiles,
    config: Mutex<Arc<ServerConfig>>,
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let with_path = |e: rustls::pki_types::pem::Error| format!("{}: {e}", path.display());
    let all: Vec<_> = CertificateDer::pem_file_iter(path)
        .map_err(with_path)?
        .collect::<Result<_, _>>()
        .map_err(with_path)?;
    if all.is_empty() {
        return Err(format!("{}: contains no certificate", path.display()));
    }
    Ok(all)
}

/// Builds the configuration from the files. The key file must not be accessible to other users.
fn load_config(files: &TlsFiles) -> Result<ServerConfig, String> {
    let key = files.key.display();
    let mode = std::fs::metadata(&files.key)
        .map_err(|e| format!("{key}: {e}"))?
        .permissions()
        .mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "{key}: must not be accessible to other users (mode {:03o}); run chmod 600 on it",
            mode & 0o777
        ));
    }
    let private_key =
        PrivateKeyDer::from_pem_file(&files.key).map_err(|e| format!("{key}: {e}"))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?;
    let builder = match &files.client_ca {
        None => builder.with_no_client_auth(),
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for certificate in certificates(path)? {
                roots
                    .add(certificate)
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
            let verifier = verifier
                .allow_unauthenticated()
                .build()
                .map_err(|e| e.to_string())?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let chain = certificates(&files.certificate)?;
    let mut config = builder
        .with_single_cert(chain, private_key)
        .map_err(|e| format!("{} and {key}: {e}", files.certificate.display()))?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(config)
}

impl Tls {
    /// Loads the files.
    ///
    /// # Errors
    /// The path of a file that is missing or invalid, and the reason.
    pub fn load(files: TlsFiles) -> Result<Tls, String> {
        let config = Mutex::new(Arc::new(load_config(&files)?));
        Ok(Tls { files, config })
    }

    /// Loads the files again, for new connections; open ones keep their configuration.
    ///
    /// # Errors
    /// The path of a file that is missing or invalid, and the reason. The previous configuration then stays in effect.
    pub fn reload(&self) -> Result<(), String> {
        let next = Arc::new(load_config(&self.files)?);
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = next;
        Ok(())
    }

    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(
            self.config
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
        )
    }
}

/// The common name of a client's certificate, which was verified in the handshake.
pub fn common_name(certificate: &CertificateDer) -> Option<String> {
    let (_, parsed) = x509_parser::parse_x509_certificate(certificate).ok()?;
    let name = parsed.subject().iter_common_name().next()?;
    name.as_str().ok().map(str::to_string)
}
