mod body;
mod framing;
mod limits;
mod stream;
mod table;
