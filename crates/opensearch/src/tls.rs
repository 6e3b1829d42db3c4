//! TLS on the front: certificate and key from files, taken up anew without dropping a connection.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use tokio_rustls::TlsAcceptor;

/// The files that the settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Who vouches for clients; none where they are not asked for certificates.
    pub clients: Option<PathBuf>,
}

/// What new connections are met with.
pub struct Tls {
    files: Files,
    config: Mutex<Arc<ServerConfig>>,
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let at = |e: rustls::pki_types::pem::Error| format!("{}: {e}", path.display());
    let all: Vec<_> = CertificateDer::pem_file_iter(path)
        .map_err(at)?
        .collect::<Result<_, _>>()
        .map_err(at)?;
    if all.is_empty() {
        return Err(format!("{}: there is no certificate in it", path.display()));
    }
    Ok(all)
}

fn read(files: &Files) -> Result<ServerConfig, String> {
    let key = files.key.display();
    let mode = std::fs::metadata(&files.key)
        .map_err(|e| format!("{key}: {e}"))?
        .permissions()
        .mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "{key}: others may read it (mode {:03o}); chmod 600 it",
            mode & 0o777
        ));
    }
    let secret = PrivateKeyDer::from_pem_file(&files.key).map_err(|e| format!("{key}: {e}"))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?;
    let builder = match &files.clients {
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
        .with_single_cert(chain, secret)
        .map_err(|e| format!("{} and {key}: {e}", files.certificate.display()))?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(config)
}

impl Tls {
    /// # Errors
    /// A file that does not do, by its name.
    pub fn load(files: Files) -> Result<Tls, String> {
        let config = Mutex::new(Arc::new(read(&files)?));
        Ok(Tls { files, config })
    }

    /// Reads the files again. Connections that are open go on as they are.
    ///
    /// # Errors
    /// A file that does not do; then the old ones stay in force.
    pub fn reload(&self) -> Result<(), String> {
        let next = Arc::new(read(&self.files)?);
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
